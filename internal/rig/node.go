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

// Ports that every VM of a fleet uses on its own IP number.
const (
	portCallers   = 8000
	portLink      = 8001
	portOperators = 8002
	portEndpoint  = 8003
	portPlatform  = 8004
	portRelay     = 8005
)

// Node is one VM of a fleet, with its process.
type Node struct {
	VM           store.VM
	Callers      netip.AddrPort
	Operators    netip.AddrPort
	settingsFile string
	logFile      string
	cmd          *exec.Cmd
	exited       chan error
}

// Start starts the process.
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

// Pid returns the process's ID.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Running reports whether the process was started and has not ended.
func (n *Node) Running() bool {
	return n.cmd != nil && len(n.exited) == 0
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if !n.Running() {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
}

// Freeze halts the process as a paused VM would be.
func (n *Node) Freeze() { _ = n.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (n *Node) Thaw() { _ = n.cmd.Process.Signal(syscall.SIGCONT) }

// Stop asks for a planned stop and returns how the process ended; one that has
// not ended by the deadline is killed.
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
		return errors.Newf("%s did not stop in time", n.VM.Name)
	}
}

// Log returns what the process has logged so far.
func (n *Node) Log() string {
	text, _ := os.ReadFile(filepath.Clean(n.logFile))
	return string(text)
}
