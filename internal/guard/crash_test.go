// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// TestDownPrecedesReply checks that the entry of a run under which the endpoint has crashed, or which the
// endpoint refused, knows that the endpoint is down when it gets the reply. Guards against a request that
// spends all its attempts on endpoints that crashed just before: after one that crashed three of eight
// engines, another was refused as endpointLost where the notices of the guards came late.
func TestDownPrecedesReply(t *testing.T) {
	for _, c := range []struct {
		name string
		lost *fault.Error
	}{
		{"crashed during the run", fault.New(fault.EndpointLost, fault.MayHaveRun, "lost")},
		{"refused the connection", fault.New(fault.EndpointLost, fault.NotRun, "refused").WithCause(syscall.ECONNREFUSED)},
	} {
		h := startHarness(t)
		h.engine.lost.Store(c.lost)
		loads := make(chan wire.Load, 4)
		link.HandleInline(h.local.Mux, wire.MethodLoad, func(_ *link.Conn, n wire.LoadNotice) { loads <- n.Load })
		conn := h.dial(t)
		run := h.newRun("r", h.holder.Revision())
		run.Work.Fingerprint = "f"
		var reply wire.RunReply
		if err := conn.Call(t.Context(), wire.MethodRun, run, &reply); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-loads:
			if !got.Down {
				t.Errorf("%s: got the load %+v before the reply, want one that says down", c.name, got)
			}
		default:
			t.Errorf("%s: got no load before the reply, want one; the reply is %v", c.name, reply.Err)
		}
	}
}

// TestLateProbeKeepsEndpointDown checks that an endpoint which was lost during a probe stays down when the probe
// ends. Guards against a probe that began before a crash and marks the endpoint as up after it: entries then
// send it more runs, until the next probe.
func TestLateProbeKeepsEndpointDown(t *testing.T) {
	h := startHarness(t)
	conn := h.dial(t)
	began, release := make(chan struct{}), make(chan struct{})
	onProbe := func() {
		select {
		case began <- struct{}{}:
			<-release
		case <-t.Context().Done():
		}
	}
	t.Cleanup(func() { close(release) })
	h.engine.onProbe.Store(&onProbe)
	<-began
	h.engine.lost.Store(fault.New(fault.EndpointLost, fault.NotRun, "refused").WithCause(syscall.ECONNREFUSED))
	var reply wire.RunReply
	if err := conn.Call(t.Context(), wire.MethodRun, h.newRun("r", h.holder.Revision()), &reply); err != nil {
		t.Fatal(err)
	}
	release <- struct{}{}
	<-began
	h.g.mu.Lock()
	down := h.g.down
	h.g.mu.Unlock()
	if !down {
		t.Error("after a probe that began before the endpoint was lost: got an endpoint that is up, want down")
	}
}

// TestRefusedConnectionIsTheCause runs a request at a port that nothing listens on. The cause must tell a
// refused connection from one that could not be opened in time, which is no proof that the endpoint is down.
func TestRefusedConnectionIsTheCause(t *testing.T) {
	w := &wire.Work{Call: wire.Call{Deadline: time.Now().Add(10 * time.Second), Method: "GET", Path: "/"}}
	_, err := NewEndpoint(KindService, closedPort(t)).Run(t.Context(), wire.RunKey{}, w, stream.New(100))
	if err == nil || err.Run != fault.NotRun || !errors.Is(err.Cause, syscall.ECONNREFUSED) {
		t.Errorf("got %v, want a fault with run state notRun caused by %v", err, syscall.ECONNREFUSED)
	}
}
