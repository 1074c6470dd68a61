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
	"golang.org/x/sys/unix"

	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
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

// Node is one VM of a fleet and its process. Kill may be called while Stop waits; its other
// methods must not be called concurrently with Start.
type Node struct {
	// VM is the VM as it was first entered into the VM list.
	VM store.VM
	// Callers is the address that an entry serves callers on; invalid for a guard.
	Callers netip.AddrPort
	// Operators is the address of the operators' listener.
	Operators    netip.AddrPort
	settingsFile string
	logFile      string
	// descriptors is the limit of file descriptors of the process; 0 for that of the test.
	descriptors uint64
	// proc is the process that was started last; nil before the first start.
	proc *process
}

// process is a started process.
type process struct {
	cmd *exec.Cmd
	// exited is closed when the process has exited; err is then its result.
	exited chan struct{}
	err    error
}

// running reports whether the process has not exited.
func (p *process) running() bool { return p != nil && !tasks.IsDone(p.exited) }

// kill kills the process with SIGKILL and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
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
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), envRole+"="+n.VM.Role, envFile+"="+n.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	if n.descriptors > 0 {
		limit := unix.Rlimit{Cur: n.descriptors, Max: n.descriptors}
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			return err
		}
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	n.proc = p
	go func() {
		defer close(p.exited)
		p.err = cmd.Wait()
	}()
	return nil
}

// Pid returns the ID of the running process.
func (n *Node) Pid() int { return n.proc.cmd.Process.Pid }

// Running reports whether the process was started and has not exited. A frozen process counts
// as running.
func (n *Node) Running() bool { return n.proc.running() }

// Kill kills the process with SIGKILL and waits until it has exited. It does nothing if the
// process is not running.
func (n *Node) Kill() {
	if n.Running() {
		n.proc.kill()
	}
}

// Freeze suspends the process with SIGSTOP, as when its VM is paused, and returns when all its
// threads have stopped, or the process has exited.
func (n *Node) Freeze() {
	p := n.proc
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	for p.running() {
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, &info, unix.WSTOPPED|unix.WNOWAIT|unix.WNOHANG, nil)
		if info.Signo != 0 || err != nil && err != unix.EINTR {
			return
		}
		time.Sleep(freezePollInterval)
	}
}

// freezePollInterval is the interval at which Freeze checks whether the process has stopped. On a
// busy machine the thread that handles the signal waits for a processor before it stops the others.
const freezePollInterval = time.Millisecond

// Thaw resumes a frozen process.
func (n *Node) Thaw() { _ = n.proc.cmd.Process.Signal(syscall.SIGCONT) }

// Stop requests a planned stop with SIGTERM and returns the exit error of the process. A
// process that has not exited by the deadline is killed, and Stop returns an error.
func (n *Node) Stop(deadline time.Time) error {
	if !n.Running() {
		return nil
	}
	p := n.proc
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-p.exited:
		return p.err
	case <-t.C:
		p.kill()
		return errors.Newf("rig: %s did not stop by the deadline and was killed", n.VM.Name)
	}
}

// Log returns the output of all processes of the VM so far, or "" if it cannot be read.
func (n *Node) Log() string {
	text, _ := os.ReadFile(filepath.Clean(n.logFile))
	return string(text)
}
