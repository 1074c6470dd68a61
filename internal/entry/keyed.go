// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

const (
	// maxKeyedRuns bounds the runs by key that an entry remembers.
	maxKeyedRuns = 100_000
	// maxKeptAnswerBytes bounds the bytes of kept answers.
	maxKeptAnswerBytes = 24 << 20
)

// keyedRun is a run that a key names.
type keyedRun struct {
	// scopedKey is the key with its workspace, run the request ID.
	scopedKey, run string
	// bodyHash is what the key binds; it never changes.
	bodyHash string
	// request is nil once the answer is no longer kept, or if the run was
	// closed before it started.
	request *request
	// closed says that the run did not and will not run; it never goes back.
	closed bool
	// keptUntil is when the answer may go; zero while the request runs.
	keptUntil time.Time
	// forgetAge is the age of this process at which the whole run may be
	// forgotten; until then a second start is refused.
	forgetAge time.Duration
}

// keyedRuns remembers the runs that keys name in this process. A run is entered
// before it starts, and for one name there is never a second run unless the
// first is closed.
type keyedRuns struct {
	mu sync.Mutex
	// byScopedKey holds the newest run of each name, byRun every run.
	byScopedKey map[string]*keyedRun
	byRun       map[string]*keyedRun
	// bytes is the size of the kept answers.
	bytes int
}

// scopedKeyOf joins a workspace and a key.
func scopedKeyOf(workspace, key string) string { return workspace + "\x00" + key }

// add adds a run unless its name has one that is not closed; it returns the
// run that stands and whether it is the new one. A full memory refuses.
func (k *keyedRuns) add(n *keyedRun) (*keyedRun, bool, *fault.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byScopedKey == nil {
		k.byScopedKey = make(map[string]*keyedRun)
		k.byRun = make(map[string]*keyedRun)
	}
	if old, ok := k.byScopedKey[n.scopedKey]; ok && !old.closed {
		return old, false, nil
	}
	if len(k.byRun) >= maxKeyedRuns {
		return nil, false, fault.New(fault.Overloaded, fault.NotRun, "The entry remembers too many keys.")
	}
	k.byScopedKey[n.scopedKey] = n
	k.byRun[n.run] = n
	return n, true, nil
}

// keyState is what is known of a run by key.
type keyState struct {
	request *request
	closed  bool
	known   bool
	body    string
}

func (k *keyedRuns) stateOf(run string) keyState {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.byRun[run]
	if !ok {
		return keyState{}
	}
	return keyState{request: r.request, closed: r.closed, known: true, body: r.bodyHash}
}

// runOf returns the run that a name stands for.
func (k *keyedRuns) runOf(name string) (run string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.byScopedKey[name]
	if !ok {
		return "", false
	}
	return r.run, true
}

// close marks a run that did not and will not run.
func (k *keyedRuns) close(run string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, ok := k.byRun[run]; ok {
		r.closed = true
		r.request = nil
	}
}

// recordEnd keeps the answer of a run for a while, or closes the run if it did not
// run.
func (k *keyedRuns) recordEnd(run string, keptUntil time.Time, size int, err *fault.Error) {
	if err != nil && err.Run == fault.NotRun {
		k.close(run)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.byRun[run]
	if !ok {
		return
	}
	r.keptUntil = keptUntil
	k.bytes += size
}

// sweep gives up answers whose time has come, or any while there are too many
// bytes, and forgets runs whose time has come.
func (k *keyedRuns) sweep(now time.Time, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.byRun {
		if r.request != nil && !r.keptUntil.IsZero() && (now.After(r.keptUntil) || k.bytes > maxKeptAnswerBytes) {
			k.bytes -= r.request.buf.Len()
			r.request = nil
		}
		if r.request == nil && age > r.forgetAge {
			delete(k.byRun, r.run)
			if k.byScopedKey[r.scopedKey] == r {
				delete(k.byScopedKey, r.scopedKey)
			}
		}
	}
}

// drop forgets a run that another entry holds.
func (k *keyedRuns) drop(run string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.byRun[run]
	if !ok {
		return
	}
	delete(k.byRun, run)
	if k.byScopedKey[r.scopedKey] == r {
		delete(k.byScopedKey, r.scopedKey)
	}
}

// count returns how many runs are remembered and the bytes of their answers.
func (k *keyedRuns) count() (runs, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.byRun), k.bytes
}

// age is how long this process has run, by the monotonic clock.
func (e *Entry) age() time.Duration { return time.Since(e.startedAt) }

// reserveKey enters a request under its key before anything is sent, so that every
// repeat in this process finds it. It returns the request that holds the key
// here: r itself, or one that r's caller joins.
func (e *Entry) reserveKey(r *request, body string, forgetAge time.Duration) (*request, *fault.Error) {
	run := &keyedRun{scopedKey: scopedKeyOf(r.call.Workspace, r.key), run: r.id, bodyHash: body, request: r, forgetAge: forgetAge}
	current, added, err := e.keyedRuns.add(run)
	if err != nil {
		return nil, err
	}
	if added {
		return r, nil
	}
	return e.joinLocal(current.run, body)
}

// joinLocal returns the request of a run by key in this process.
func (e *Entry) joinLocal(run, body string) (*request, *fault.Error) {
	s := e.keyedRuns.stateOf(run)
	switch {
	case !s.known:
		return nil, fault.New(fault.KeyUnsettled, fault.MayHaveRun, "The run of this key is no longer known.")
	case s.body != body:
		return nil, fault.New(fault.KeyReused, fault.NotRun, "The key was used with another request.")
	case s.closed:
		return nil, errClosed
	case s.request == nil:
		return nil, fault.New(fault.AlreadyRan, fault.Ran, "The request ran; its answer is no longer kept.")
	default:
		return s.request, nil
	}
}

// errClosed says that the run of a key did not and will not run, so that the
// key may be claimed again.
var errClosed = fault.New(fault.KeyUnsettled, fault.NotRun, "The run of this key is closed and did not run.")

// keepAnswer is called when a request by key has ended.
func (e *Entry) keepAnswer(r *request, err *fault.Error) {
	if r.following {
		e.keyedRuns.drop(r.id)
		return
	}
	kept := r.effective.Values.AnswerKept
	e.keyedRuns.recordEnd(r.id, kept.After(e.Now()), r.buf.Len(), err)
}

// sweep looks through the kept answers until ctx is done.
func (e *Entry) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		tasks.Pause(ctx, sweepInterval.After(time.Now()))
		e.keyedRuns.sweep(e.Now(), e.age())
	}
	return nil
}

// sweepInterval is how often kept answers are looked through.
const sweepInterval = config.Span(time.Second)
