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
	// maxKeyedRuns is the maximum number of runs by key that an entry holds.
	maxKeyedRuns = 100_000
	// maxKeptAnswerBytes is the maximum total size of kept answers, in bytes.
	maxKeptAnswerBytes = 24 << 20
)

// keyedRun is a run that a key names.
type keyedRun struct {
	// scopedKey is the key with its workspace, run the request ID.
	scopedKey, run string
	// bodyHash is the hash that the key binds; it never changes.
	bodyHash string
	// request is nil once the answer is no longer kept, or if the run was closed before it
	// started.
	request *request
	// closed reports that the run did not run and never will; it is never reset.
	closed bool
	// keptUntil is the time until which the answer is kept; zero while the request runs.
	keptUntil time.Time
	// forgetAge is the age of this process at which the record itself may be deleted. Until
	// then a second start is refused.
	forgetAge time.Duration
}

// keyedRuns holds the runs in this process that keys name. A run is added before it starts.
// A key gets a second run only if the first is closed.
type keyedRuns struct {
	mu sync.Mutex
	// byScopedKey holds the newest run of each scoped key, byRun every run by its request
	// ID.
	byScopedKey map[string]*keyedRun
	byRun       map[string]*keyedRun
	// bytes is the total size of the kept answers.
	bytes int
}

// scopedKeyOf joins a workspace and a key.
func scopedKeyOf(workspace, key string) string { return workspace + "\x00" + key }

// add adds a run, unless its key has one that is not closed. It returns the run that holds
// the key and whether that is the new one. It returns fault.Overloaded at maxKeyedRuns.
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

// keyState is a copy of the state of a keyed run. known is false if the process holds no
// such run.
type keyState struct {
	request  *request
	closed   bool
	known    bool
	bodyHash string
}

// stateOf returns the state of a run by its request ID.
func (k *keyedRuns) stateOf(run string) keyState {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.byRun[run]
	if !ok {
		return keyState{}
	}
	return keyState{request: r.request, closed: r.closed, known: true, bodyHash: r.bodyHash}
}

// runOf returns the request ID of the newest run of a scoped key.
func (k *keyedRuns) runOf(scopedKey string) (run string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.byScopedKey[scopedKey]
	if !ok {
		return "", false
	}
	return r.run, true
}

// close marks a run that did not run and never will.
func (k *keyedRuns) close(run string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, ok := k.byRun[run]; ok {
		r.closed = true
		r.request = nil
	}
}

// recordEnd keeps the answer of a run, of size bytes, until keptUntil. It closes a run that
// did not run.
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

// sweep drops the answers whose keptUntil has passed, and arbitrary others while their
// total size exceeds maxKeptAnswerBytes. It deletes runs without an answer whose forgetAge
// has passed.
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

// drop deletes a run that another entry holds or that has no claim in the log.
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

// count returns the number of runs and the total size of their answers in bytes.
func (k *keyedRuns) count() (runs, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.byRun), k.bytes
}

// age returns how long this process has run, by the monotonic clock.
func (e *Entry) age() time.Duration { return time.Since(e.startedAt) }

// reserveKey adds a request under its key before anything is sent, so that every repeat in
// this process finds it. It returns the request that holds the key: r itself, or the one
// that r's caller joins.
func (e *Entry) reserveKey(r *request, hash string, forgetAge time.Duration) (*request, *fault.Error) {
	run := &keyedRun{scopedKey: scopedKeyOf(r.call.Workspace, r.key), run: r.id, bodyHash: hash, request: r, forgetAge: forgetAge}
	current, added, err := e.keyedRuns.add(run)
	if err != nil {
		return nil, err
	}
	if added {
		return r, nil
	}
	return e.joinLocal(current.run, hash)
}

// joinLocal returns the request of a run by key in this process. It returns errClosed for a
// closed run and fault.AlreadyRan if the answer is no longer kept.
func (e *Entry) joinLocal(run, hash string) (*request, *fault.Error) {
	s := e.keyedRuns.stateOf(run)
	switch {
	case !s.known:
		return nil, fault.New(fault.KeyUnsettled, fault.MayHaveRun, "The run of this key is no longer known.")
	case s.bodyHash != hash:
		return nil, fault.New(fault.KeyReused, fault.NotRun, "The key was used with another request.")
	case s.closed:
		return nil, errClosed
	case s.request == nil:
		return nil, fault.New(fault.AlreadyRan, fault.Ran, "The request ran; its answer is no longer kept.")
	default:
		return s.request, nil
	}
}

// errClosed reports that the run of a key did not run and never will, so that the key may
// be claimed again.
var errClosed = fault.New(fault.KeyUnsettled, fault.NotRun, "The run of this key is closed and did not run.")

// keepAnswer keeps the answer of a request by key that has ended with err, for as long as
// its settings say. It drops a request that followed another entry's run.
func (e *Entry) keepAnswer(r *request, err *fault.Error) {
	if r.following {
		e.keyedRuns.drop(r.id)
		return
	}
	kept := r.effective.Values.AnswerKept
	e.keyedRuns.recordEnd(r.id, kept.After(e.Now()), r.buf.Len(), err)
}

// sweep expires kept answers and runs every sweepInterval until ctx is done.
func (e *Entry) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		tasks.Pause(ctx, sweepInterval.After(time.Now()))
		e.keyedRuns.sweep(e.Now(), e.age())
		e.counts.inFlight.Update(float64(e.inFlight.Load()))
	}
	return nil
}

// sweepInterval is the interval between two sweeps of the keyed runs.
const sweepInterval = config.Span(time.Second)
