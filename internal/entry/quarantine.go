// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
)

// quarantine holds the crash reports about requests and the verdicts on them. Guards report
// to all linked entries which runs were in progress when their endpoint crashed. Each entry
// can therefore refuse a request that crashes endpoints, whichever entry sent it there.
type quarantine struct {
	mu sync.Mutex
	// detector is guarded by mu.
	detector *poison.Detector
}

// zeroRank is the retry rank of every entry for poison.Detector.Refuses. Entries do not
// coordinate: each retries a quarantined request itself once Until has passed.
func zeroRank(poison.Fingerprint) int { return 0 }

// fingerprint returns the fingerprint of the request, which is equal for its repeats. It is
// called only by the goroutine that runs the request.
func (r *request) fingerprint() poison.Fingerprint {
	if r.cachedFingerprint == (poison.Fingerprint{}) {
		c := &r.call
		req := poison.Request{Method: c.Method, Host: c.Service, Path: c.Path, Caller: c.Workspace, Body: c.Body}
		r.cachedFingerprint = req.Fingerprint()
	}
	return r.cachedFingerprint
}

// checkQuarantine returns fault.Quarantined if the request must not be sent to any endpoint
// now, else nil. If a judgement on the request is pending, it waits until that is due.
func (e *Entry) checkQuarantine(r *request) *fault.Error {
	q := &e.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.detector.Empty() {
		return nil
	}
	p := r.fingerprint()
	if due, ok := q.detector.JudgeDueAt(p); ok {
		q.mu.Unlock()
		tasks.Pause(r.ctx, due)
		q.mu.Lock()
	}
	now := e.Now()
	e.judgeSuspects(now)
	v := q.detector.Refuses(now, p, zeroRank)
	if v == nil {
		return nil
	}
	run := fault.NotRun
	if len(r.attempts) > 0 {
		run = fault.MayHaveRun
	}
	return fault.New(fault.Quarantined, run, "%d endpoints or more crashed under request %v; it is not sent to another.", len(v.Crashes), p).WithRetryAt(v.Until)
}

// judgeSuspects decides on the suspects that are due; quarantine.mu is held.
func (e *Entry) judgeSuspects(now time.Time) {
	linked := e.peers.linkCount()
	changed, _ := e.quarantine.detector.Judge(now, func(uint64) poison.View { return poison.View{InFlight: linked, Listed: linked} })
	for i := range changed {
		v := &changed[i]
		e.Log.Warn("entry: A request's quarantine has changed.", zap.Stringer("fingerprint", v.Fingerprint), zap.Bool("quarantined", v.InForce()), zap.Int("crashes", len(v.Crashes)), zap.Time("until", v.Until))
	}
}

// recordSuccess records that an endpoint answered a request completely, which proves that
// the request does not crash what runs it.
func (e *Entry) recordSuccess(r *request) {
	q := &e.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.detector.Empty() {
		q.detector.RecordSuccess(e.Now(), r.fingerprint())
	}
}

// recordCrashes records the crashes that the guard of p reports, without those that it has
// reported before. guard is the incarnation of that guard.
func (e *Entry) recordCrashes(p *peer, guard string, reported []wire.Crash) {
	added := p.newCrashes(guard, reported)
	if len(added) == 0 {
		return
	}
	q := &e.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := e.Now()
	q.detector.Expire(now)
	for _, c := range added {
		f, err := poison.ParseFingerprint(c.Fingerprint)
		if err != nil {
			e.Log.Warn("entry: A crash report with a malformed fingerprint was dropped.", zap.String("vm", p.vm.Name), zap.Error(err))
			continue
		}
		at := now.Add(-time.Duration(c.CrashAgeMs) * time.Millisecond)
		q.detector.RecordCrash(at, f, pool.HashOf(p.vm.Name), time.Duration(c.RunAgeMs)*time.Millisecond, true)
	}
}

// newCrashes returns the reported crashes that this incarnation of the guard has not
// reported before.
func (p *peer) newCrashes(guard string, reported []wire.Crash) (added []wire.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashIncarnation != guard {
		p.crashIncarnation, p.crashSeq = guard, 0
	}
	for _, c := range reported {
		if c.Seq > p.crashSeq {
			p.crashSeq = c.Seq
			added = append(added, c)
		}
	}
	return added
}
