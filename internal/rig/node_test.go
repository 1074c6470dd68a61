// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/store"
)

// TestKillDuringStop kills a process that does not heed its planned stop, and starts it again. Both
// calls must return, and the new process must count as running. Guards against a soak that hangs where
// it draws a kill beside a planned stop of the same VM.
func TestKillDuringStop(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "deaf.sh")
	if err := os.WriteFile(program, []byte("#!/bin/sh\ntrap '' TERM\nwhile :; do sleep 0.1; done\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	const role = "deaf"
	t.Setenv(envOtherProgram, program)
	t.Setenv(envOtherRole, role)
	n := &Node{VM: store.VM{Role: role}, logFile: filepath.Join(dir, "log")}
	for range 5 {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		// The shell must have set its trap, or the planned stop ends it.
		time.Sleep(100 * time.Millisecond)
		const stopWithin = 20 * time.Second
		stopped, killed := make(chan error, 1), make(chan struct{})
		go func() { stopped <- n.Stop(time.Now().Add(stopWithin)) }()
		time.Sleep(20 * time.Millisecond)
		go func() {
			defer close(killed)
			n.Kill()
		}()
		for _, done := range []<-chan struct{}{killed, closedBy(stopped)} {
			select {
			case <-done:
			case <-time.After(stopWithin / 2):
				t.Fatal("a stop or a kill did not return after the process was killed")
			}
		}
		if n.Running() {
			t.Error("running after the kill: got true, want false")
		}
	}
}

// TestFreezeStops checks that a process has stopped when Freeze returns. Guards against a frozen entry
// that still answers for a moment on a busy machine.
func TestFreezeStops(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "busy.sh")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nwhile :; do :; done\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	const role = "busy"
	t.Setenv(envOtherProgram, program)
	t.Setenv(envOtherRole, role)
	n := &Node{VM: store.VM{Role: role}, logFile: filepath.Join(dir, "log")}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	defer n.Kill()
	for i := range 200 {
		n.Freeze()
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Pid()))
		if err != nil {
			t.Fatal(err)
		}
		if got := string(text[bytes.LastIndexByte(text, ')')+2]); got != "T" {
			t.Fatalf("freeze %d: got the state %s, want T", i, got)
		}
		n.Thaw()
		time.Sleep(time.Millisecond)
	}
}

// closedBy returns a channel that is closed once ch has received a value.
func closedBy(ch <-chan error) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ch
	}()
	return done
}
