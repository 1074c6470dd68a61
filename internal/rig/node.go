// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/store"
)

// Ports on the IP number of each VM. The fake platform listens on portPlatform of the first
// IP number of the block. The VM list names portRelay as the link of a guard.
const (
	portCallers   = 8000
	portLink      = 8001
	portOperators = 8002
	portEndpoint  = 8003
	portPlatform  = 8004
	portRelay     = 8005
)

// Node is one VM of a fleet and its process.
type Node struct {
	// VM is the VM as it was first entered into the VM list.
	VM store.VM
	// Callers is the address that an entry serves callers on; invalid for a guard.
	Callers netip.AddrPort
	// Operators is the address of the operators' listener.
	Operators    netip.AddrPort
	settingsFile string
	logFile      string
	// cmd is nil before the first start and after Kill or Stop.
	cmd *exec.Cmd
	// exited receives the result of the process once.
	exited chan error
}

// Start starts the process, which appends its output to the log file. The kernel kills it if
// the caller's process dies.
func (n *Node) Start() error {
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if other := os.Getenv(envOtherProgram); other != "" && n.VM.Role == os.Getenv(envOtherRole) {
		self = other
	}
	n.cmd = exec.Command(self)
	n.cmd.Env = append(os.Environ(), envRole+"="+n.VM.Role, envFile+"="+n.settingsFile)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan error, 1)
	go func() { n.exited <- n.cmd.Wait() }()
	return nil
}

// Pid returns the ID of the running process.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Running reports whether the process was started and has not exited. A frozen process counts
// as running.
func (n *Node) Running() bool {
	return n.cmd != nil && len(n.exited) == 0
}

// Kill kills the process with SIGKILL and waits until it has exited. It does nothing if the
// process is not running.
func (n *Node) Kill() {
	if !n.Running() {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
}

// Freeze suspends the process with SIGSTOP, as when its VM is paused.
func (n *Node) Freeze() { _ = n.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (n *Node) Thaw() { _ = n.cmd.Process.Signal(syscall.SIGCONT) }

// Stop requests a planned stop with SIGTERM and returns the exit error of the process. A
// process that has not exited by the deadline is killed, and Stop returns an error.
func (n *Node) Stop(deadline time.Time) error {
	if !n.Running() {
		return nil
	}
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case err := <-n.exited:
		n.cmd = nil
		return err
	case <-t.C:
		n.Kill()
		return errors.Newf("rig: %s did not stop by the deadline and was killed", n.VM.Name)
	}
}

// Log returns the output of all processes of the VM so far, or "" if it cannot be read.
func (n *Node) Log() string {
	text, _ := os.ReadFile(filepath.Clean(n.logFile))
	return string(text)
}
