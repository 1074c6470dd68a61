// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Build builds a command of the module at root into dir, without the race detector, whose memory would be counted, and
// returns its path.
func Build(root, command, dir string) (string, error) {
	program := filepath.Join(dir, command)
	cmd := exec.Command("go", "build", "-o", program, "./cmd/"+command)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return program, nil
}

// Peak is the most that a process held at a time.
type Peak struct {
	// MemoryBytes counts the resident memory and the bytes in the receive buffers of its sockets that it has not read.
	MemoryBytes int64
	// UnreadBytes are the bytes in receive buffers alone.
	UnreadBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Watch samples what a process holds until it is stopped.
type Watch struct {
	pid int
	// doors are the addresses of the process's listeners, whose connections count before they are accepted, too.
	doors  []netip.AddrPort
	peak   Peak
	cancel context.CancelFunc
	ended  chan struct{}
}

// sampleInterval is the time between two samples.
const sampleInterval = 50 * time.Millisecond

// NewWatch begins to sample a process.
func NewWatch(pid int, doors ...netip.AddrPort) *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{pid: pid, doors: doors, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			w.sample()
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

// Stop ends the watch and returns the most that the process held. The kernel's own record of the resident memory covers
// the time between samples.
func (w *Watch) Stop() Peak {
	w.cancel()
	<-w.ended
	w.peak.MemoryBytes = max(w.peak.MemoryBytes, w.status("VmHWM:"))
	return w.peak
}

func (w *Watch) sample() {
	sockets := w.sockets()
	unread := w.unread(sockets)
	w.peak.UnreadBytes = max(w.peak.UnreadBytes, unread)
	w.peak.MemoryBytes = max(w.peak.MemoryBytes, w.status("VmRSS:")+unread)
}

// status returns a line of the process's status in bytes; 0 if there is none.
func (w *Watch) status(name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// sockets returns the inodes of the process's sockets, and records how many descriptors are open.
func (w *Watch) sockets() map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", w.pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	w.peak.Descriptors = max(w.peak.Descriptors, len(entries))
	inodes := make(map[string]bool)
	for _, e := range entries {
		target, _ := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// unread returns the bytes that wait in the receive buffers of these sockets, and of connections that the process has
// not accepted.
func (w *Watch) unread(sockets map[string]bool) (n int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", w.pid))
	if err != nil {
		return 0
	}
	const local, state, queues, inode = 1, 3, 4, 9
	for s := bufio.NewScanner(bytes.NewReader(text)); s.Scan(); {
		f := strings.Fields(s.Text())
		// The queue of a listening socket counts connections.
		if len(f) <= inode || f[state] == "0A" {
			continue
		}
		if !sockets[f[inode]] && (f[inode] != "0" || f[state] != "01" || !w.isDoor(f[local])) {
			continue
		}
		_, rx, _ := strings.Cut(f[queues], ":")
		bytes, _ := strconv.ParseInt(rx, 16, 64)
		n += bytes
	}
	return n
}

// isDoor reports whether an address, as the kernel prints it, is that of a listener.
func (w *Watch) isDoor(text string) bool {
	for _, d := range w.doors {
		a := d.Addr().As4()
		if text == fmt.Sprintf("%02X%02X%02X%02X:%04X", a[3], a[2], a[1], a[0], d.Port()) {
			return true
		}
	}
	return false
}
