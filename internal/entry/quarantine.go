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

// quarantine is what an entry knows of requests that crash endpoints. Guards tell all entries
// that are linked to them which runs were under way when their endpoint crashed, so that no
// entry sends such a request to endpoints that it sees crash under it, whoever sent it there.
type quarantine struct {
	mu   sync.Mutex
	book *poison.Detector
}

// alone is the rank of an entry: each tries a request again by itself once its time is over.
func alone(poison.Fingerprint) int { return 0 }

// fingerprint names the request among its repeats. It is called by the goroutine that runs the
// request.
func (r *request) fingerprint() poison.Fingerprint {
	if r.named == (poison.Fingerprint{}) {
		c := &r.call
		req := poison.Request{Method: c.Method, Host: c.Service, Path: c.Path, Caller: c.Workspace, Body: c.Body}
		r.named = req.Fingerprint()
	}
	return r.named
}

// quarantined returns why a request is not sent to any endpoint; nil if it may be. One that is
// just being judged waits for that.
func (e *Entry) quarantined(r *request) *fault.Error {
	q := &e.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.book.Empty() {
		return nil
	}
	p := r.fingerprint()
	if due, ok := q.book.JudgeDueAt(p); ok {
		q.mu.Unlock()
		tasks.Pause(r.ctx, due)
		q.mu.Lock()
	}
	now := e.Now()
	e.judge(now)
	v := q.book.Refuses(now, p, alone)
	if v == nil {
		return nil
	}
	run := fault.NotRun
	if len(r.attempts) > 0 {
		run = fault.MayHaveRun
	}
	return fault.New(fault.Quarantined, run, "%d endpoints or more crashed under request %v; it is not sent to another.", len(v.Crashes), p).WithRetryAt(v.Until)
}

// judge quarantines the suspects that are due; quarantine.mu is held.
func (e *Entry) judge(now time.Time) {
	linked := e.peers.linked()
	changed, _ := e.quarantine.book.Judge(now, func(uint64) poison.View { return poison.View{InFlight: linked, Listed: linked} })
	for i := range changed {
		v := &changed[i]
		e.Log.Warn("entry: A request's quarantine has changed.", zap.Stringer("fingerprint", v.Fingerprint), zap.Bool("quarantined", v.InForce()), zap.Int("crashes", len(v.Crashes)), zap.Time("until", v.Until))
	}
}

// answeredWhole notes that an endpoint answered a request whole: it does not crash what runs it.
func (e *Entry) answeredWhole(r *request) {
	q := &e.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.book.Empty() {
		q.book.RecordSuccess(e.Now(), r.fingerprint())
	}
}

// takeCrashes takes over what the guard of p tells of crashes; those that were told before
// are left out.
func (e *Entry) takeCrashes(p *peer, guard string, told []wire.Crash) {
	news := p.newCrashes(guard, told)
	if len(news) == 0 {
		return
	}
	q := &e.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := e.Now()
	q.book.Expire(now)
	for _, c := range news {
		f, err := poison.ParseFingerprint(c.Fingerprint)
		if err != nil {
			e.Log.Warn("entry: A crash could not be decoded.", zap.String("vm", p.vm.Name), zap.Error(err))
			continue
		}
		at := now.Add(-time.Duration(c.CrashAgeMs) * time.Millisecond)
		q.book.RecordCrash(at, f, pool.HashOf(p.vm.Name), time.Duration(c.RunAgeMs)*time.Millisecond, true)
	}
}

// newCrashes returns what was not told before by this incarnation of the guard.
func (p *peer) newCrashes(guard string, told []wire.Crash) (news []wire.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashesOf != guard {
		p.crashesOf, p.crashSeq = guard, 0
	}
	for _, c := range told {
		if c.Seq > p.crashSeq {
			p.crashSeq = c.Seq
			news = append(news, c)
		}
	}
	return news
}
