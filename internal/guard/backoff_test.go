// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// TestBackoffOfEngineIsHonoured checks that an engine that refuses a run with Retry-After gets no other run
// until that time, and that the refusals carry it. When the guard read only the status of a refusal, it sent
// every further run to the engine and passed no time to callers. Routers had the same fault.
func TestBackoffOfEngineIsHonoured(t *testing.T) {
	const backoff = time.Second
	var calls atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", fmt.Sprint(backoff.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer engine.Close()
	h := startHarness(t)
	h.g.endpoint.Run = NewEndpoint(KindEngine, engine.Listener.Addr().(*net.TCPAddr).AddrPort()).Run
	c := h.dial(t)
	first := time.Now()
	for i := range 5 {
		got := h.run(t, c, fmt.Sprint("run-", i), 1)
		checkReply(t, fmt.Sprint("run ", i), got, fault.Overloaded, fault.NotRun)
		if at := got.Err.RetryAt; at.Before(first.Add(backoff)) || at.After(time.Now().Add(backoff)) {
			t.Errorf("run %d: time to retry: got %v after the first run, want %v", i, at.Sub(first), backoff)
		}
	}
	if got := calls.Load(); got != 1 {
		t.Errorf("runs that reached the engine up to the end of its backoff: got %d, want 1", got)
	}
	<-time.After(backoff)
	h.run(t, c, "run-later", 1)
	if got := calls.Load(); got != 2 {
		t.Errorf("runs that reached the engine in total, with one after its backoff: got %d, want 2", got)
	}
}

// TestQueuedRunIsRefusedDuringBackoff checks that a run that waits for a slot when the engine asks for
// backoff is refused too.
func TestQueuedRunIsRefusedDuringBackoff(t *testing.T) {
	h := startHarness(t)
	started, refuse := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	until := time.Now().Add(time.Minute)
	h.g.endpoint.Run = func(context.Context, wire.RunKey, *wire.Work, *stream.Buffer) (wire.Usage, *fault.Error) {
		if runs.Add(1) == 1 {
			close(started)
		}
		<-refuse
		return wire.Usage{}, fault.New(fault.Overloaded, fault.NotRun, "The engine takes no more work.").WithRetryAt(until)
	}
	c := h.dial(t)
	first := h.runAsync(t, c, "first")
	<-started
	second := h.runAsync(t, c, "second")
	h.waitQueued(t, 1)
	close(refuse)
	for name, reply := range map[string]<-chan wire.RunReply{"first": first, "second": second} {
		got := <-reply
		checkReply(t, name, got, fault.Overloaded, fault.NotRun)
		if !got.Err.RetryAt.Equal(until) {
			t.Errorf("%s: time to retry: got %v, want %v", name, got.Err.RetryAt, until)
		}
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("runs that reached the engine: got %d, want 1", got)
	}
}

// TestBackoffIsSentToEntries checks that the load that is sent at once and with each heartbeat carries the
// backoff: an endpoint that refuses every run appears idle, and entries would choose it first.
func TestBackoffIsSentToEntries(t *testing.T) {
	h := startHarness(t)
	loads := make(chan wire.Load, 4)
	link.HandleInline(h.local.Mux, wire.MethodLoad, func(_ *link.Conn, n wire.LoadNotice) { loads <- n.Load })
	h.g.endpoint.Run = func(context.Context, wire.RunKey, *wire.Work, *stream.Buffer) (wire.Usage, *fault.Error) {
		return wire.Usage{}, fault.New(fault.Overloaded, fault.NotRun, "The engine takes no more work.").WithRetryAt(time.Now().Add(time.Minute))
	}
	c := h.dial(t)
	h.run(t, c, "run", 1)
	select {
	case l := <-loads:
		if l.BackoffMs <= 0 || l.BackoffMs > time.Minute.Milliseconds() {
			t.Errorf("load notice: got %d ms of backoff, want more than 0 and at most a minute", l.BackoffMs)
		}
	case <-time.After(10 * time.Second):
		t.Error("load notice: got none within 10 s")
	}
	var reply wire.HeartbeatReply
	if err := c.Call(t.Context(), wire.MethodHeartbeat, wire.Heartbeat{}, &reply); err != nil || reply.Load.BackoffMs <= 0 {
		t.Errorf("heartbeat reply: got %d ms of backoff, %v, want more than 0 and no error", reply.Load.BackoffMs, err)
	}
}
