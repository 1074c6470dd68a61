// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/pool"
)

// address is the address of an endpoint at which one process follows another. It is safe for concurrent use.
type address struct {
	mu sync.Mutex
	// process is closed when the present process ends.
	process chan struct{}
	// refuses, suspended and closes say that it takes no connections, answers nothing, and closes a connection after an
	// answer.
	refuses, suspended, closes bool
	// open counts the open connections, opened all.
	open, opened int
}

// restart ends the process and starts the next.
func (d *address) restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.process)
	d.process = make(chan struct{})
}

// suspend suspends the process.
func (d *address) suspend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspended = true
}

func (d *address) openProbe(context.Context, pool.Entry, string) (*ProbeConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuses {
		return nil, errors.New("refused")
	}
	d.open++
	d.opened++
	process := d.process
	var once sync.Once
	ask := func(ctx context.Context) (Liveness, bool) {
		d.mu.Lock()
		suspended, closes := d.suspended, d.closes
		d.mu.Unlock()
		switch {
		case tasks.IsDone(process):
			return Ended, false
		case suspended:
			<-ctx.Done()
			return Held, false
		}
		return Alive, closes
	}
	return &ProbeConn{Ask: ask, Ended: process, Close: func() {
		once.Do(func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.open--
		})
	}}, nil
}

// checkAlive checks the present process on a connection of its own.
func (d *address) checkAlive(_ context.Context, _ pool.Entry, _ string) Liveness {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspended {
		return Held
	}
	return Alive
}

// Only what outlives an answer from before its end shows that its endpoint's process did: a connection that the process
// accepted, or the lack of time for another process to be there.
//
// Guards against an answer that is confirmed by the next process at the address, and against whole answers of sound
// endpoints that are not confirmed.
func TestContinuity(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		// play plays what happens from when the request is sent until the end of its answer has been read. acquire opens the
		// life.
		play  func(d *address, a *Attempt, boot *time.Duration, acquire func())
		alive Liveness
		want  continuity
	}{
		{"one process", func(_ *address, _ *Attempt, _ *time.Duration, acquire func()) { acquire(); time.Sleep(10 * second) }, Alive, heldBefore},
		{"the next process", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			acquire()
			time.Sleep(second)
			d.restart()
			time.Sleep(second)
		}, Ended, notContinuous},
		{"the next process, at the moment of the check", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			acquire()
			time.Sleep(second + probeInterval/2)
			d.restart()
		}, Ended, notContinuous},
		{"the next process, at once", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			acquire()
			time.Sleep(minRestart / 4)
			d.restart()
		}, Ended, notContinuous},
		{"the next process, suspended", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			acquire()
			time.Sleep(second)
			d.restart()
			d.suspend()
			time.Sleep(second)
		}, Ended, notContinuous},
		{"one process, suspended", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			acquire()
			time.Sleep(second)
			d.suspend()
			time.Sleep(3 * second)
		}, Held, heldBefore},
		{"one process that closes connections after an answer", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			d.closes = true
			acquire()
			time.Sleep(10 * second)
		}, Alive, heldBefore},
		{"the next process, after one that closes connections after an answer", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			d.closes = true
			acquire()
			time.Sleep(3 * second)
			d.restart()
			time.Sleep(3 * second)
		}, Ended, notContinuous},
		{"a connection that was opened too late", func(_ *address, a *Attempt, _ *time.Duration, acquire func()) {
			time.Sleep(second)
			a.waitedAt = a.sentAt + second
			acquire()
			time.Sleep(second)
		}, Alive, notContinuous},
		{"a connection that was opened while the answer came", func(_ *address, a *Attempt, _ *time.Duration, acquire func()) {
			time.Sleep(second)
			acquire()
			time.Sleep(second)
			a.waitedAt = a.sentAt + 2*second
		}, Alive, heldDuring},
		{"a connection after a suspension of the VM", func(_ *address, _ *Attempt, boot *time.Duration, acquire func()) {
			*boot += 60 * second
			acquire()
			time.Sleep(second)
		}, Alive, notContinuous},
		{"no connection, a short answer", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			d.refuses = true
			acquire()
			time.Sleep(minRestart / 2)
		}, Alive, tooSoon},
		{"no connection, a long answer", func(d *address, _ *Attempt, _ *time.Duration, acquire func()) {
			d.refuses = true
			acquire()
			time.Sleep(minRestart)
		}, Alive, notContinuous},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &address{process: make(chan struct{})}
				e := engine(Route{Kind: Stream}, nil)
				// The clock does not begin at zero.
				start := time.Now().Add(-time.Hour)
				var skew time.Duration
				e.Boot = func() time.Duration { return time.Since(start) + skew }
				e.OpenProbe, e.CheckAlive = d.openProbe, d.checkAlive
				a := &Attempt{Endpoint: pool.Entry{ID: "e", Service: "s", Addr: netip.MustParseAddrPort("127.0.0.1:1")}, hash: 1, sentAt: e.Boot()}
				c.play(d, a, &skew, func() {
					a.life = e.acquireLife(t.Context(), a)
					<-a.life.opened
				})
				if alive, by := e.checkOutlived(t.Context(), a); alive != c.alive || by != c.want {
					t.Errorf("got %s by %q, want %s by %q", alive, by, c.alive, c.want)
				}
				a.endLife()
				time.Sleep(lifeLinger + 2*probeInterval)
				synctest.Wait()
				if d.open > 0 || len(e.lives.byHash) > 0 {
					t.Errorf("after the attempt: got %d open connections and %d lives, want none", d.open, len(e.lives.byHash))
				}
			})
		})
	}
}

// Attempts at one endpoint share a connection, and attempts at its next incarnation have another. There are maxLives
// endpoints at most.
//
// Guards against a connection for each answer, and against an answer of the next incarnation that is judged by the last.
func TestLivesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &address{process: make(chan struct{})}
		e := engine(Route{Kind: Stream}, nil)
		e.OpenProbe, e.CheckAlive = d.openProbe, d.checkAlive
		var attempts []*Attempt
		acquire := func(hash uint64, startedAt time.Time) *life {
			a := &Attempt{Endpoint: pool.Entry{ID: "e", StartedAt: startedAt}, hash: hash}
			a.life = e.acquireLife(t.Context(), a)
			attempts = append(attempts, a)
			return a.life
		}
		first := acquire(1, time.Unix(1, 0))
		if got := acquire(1, time.Unix(1, 0)); got != first {
			t.Error("a second attempt: got another life, want the same one")
		}
		if got := acquire(1, time.Unix(2, 0)); got == first {
			t.Error("an attempt at the next incarnation: got the life of the last one")
		}
		for i := range uint64(maxLives - 1) {
			if acquire(2+i, time.Time{}) == nil {
				t.Fatalf("endpoint %d of %d: got no life", 2+i, maxLives)
			}
		}
		if acquire(maxLives+2, time.Time{}) != nil {
			t.Errorf("one endpoint over %d: got a life, want none", maxLives)
		}
		synctest.Wait()
		if want := maxLives + 1; d.opened != want {
			t.Errorf("connections: got %d, want %d", d.opened, want)
		}
		for _, a := range attempts {
			a.endLife()
		}
		time.Sleep(lifeLinger + 2*probeInterval)
		synctest.Wait()
		if d.open > 0 {
			t.Errorf("connections after the attempts: got %d, want none", d.open)
		}
	})
}
