// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Stage is what a request under way is waiting for.
type Stage int32

// The stages, in the order in which a request passes through them. A request whose attempt failed before the head of its
// answer was sent goes back from StageSent to StageQueued.
const (
	StageReading   Stage = iota // the rest of its body
	StageArrived                // the decision whether it is served
	StageQueued                 // an endpoint that takes it
	StageSent                   // the head of an answer
	StageAnswering              // the rest of an answer, and its caller
	stageCount
)

var stageNames = [stageCount]string{"reading", "arrived", "queued", "sent", "answering"}

// String returns the name of the stage in logs.
func (s Stage) String() string { return stageNames[s] }

// activeRequest is a request under way. A nil activeRequest keeps no stage.
type activeRequest struct {
	r     *Request
	stage atomic.Int32
	// cancel ends the request.
	cancel context.CancelCauseFunc
	// control sets the deadlines of the caller's connection.
	control *http.ResponseController
	// work is the attempt under way; nil if there is none.
	work atomic.Pointer[progress]
}

func (q *activeRequest) setStage(s Stage) {
	if q != nil {
		q.stage.Store(int32(s))
	}
}

// setWork sets the attempt under way; nil for none.
func (q *activeRequest) setWork(p *progress) {
	if q != nil {
		q.work.Store(p)
	}
}

func (q *activeRequest) loadStage() Stage { return Stage(q.stage.Load()) }

// activeSet holds the requests under way. The zero value is empty.
type activeSet struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
}

func (s *activeSet) add(q *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = make(map[*activeRequest]struct{})
	}
	s.requests[q] = struct{}{}
}

func (s *activeSet) remove(q *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, q)
}

func (s *activeSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// list returns the requests under way.
func (s *activeSet) list() []*activeRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.requests))
}

// ActiveRequests returns the number of requests that are under way.
func (e *Engine) ActiveRequests() int { return e.active.len() }

// StageFields returns log fields with the number of requests under way in each stage.
func (e *Engine) StageFields() []zap.Field {
	var counts [stageCount]int
	for _, q := range e.active.list() {
		counts[q.loadStage()]++
	}
	fields := make([]zap.Field, stageCount)
	for s, n := range counts {
		fields[s] = zap.Int(Stage(s).String(), n)
	}
	return fields
}

// maxLeftLines is the maximum number of requests that LogLeft logs.
const maxLeftLines = 500

// LogLeft logs each request that is still under way as the process ends, as it will not reach its own line, at
// most maxLeftLines. It returns the number of requests that it left out.
func (e *Engine) LogLeft(why string) (unlogged int) {
	left := e.active.list()
	now := e.Now()
	for _, q := range left[:min(len(left), maxLeftLines)] {
		e.Log.Warn("relay: A request was left as the process ended.", append(q.workFields(now), zap.String("request", q.r.ID), zap.Stringer("stage", q.loadStage()), zap.String("why", why),
			zap.Int64("tookMs", now.Sub(q.r.Arrived).Milliseconds()))...)
	}
	return max(len(left)-maxLeftLines, 0)
}

// UnloggedStops returns how many requests that failed while the router stopped were not logged, as there were too many.
func (e *Engine) UnloggedStops() int64 { return e.logLimits.unloggedStops.Load() }

// setStage sets the stage of the request, unless its answer has begun: it stays in StageAnswering then, also where
// another endpoint goes on with it.
func (x *run) setStage(s Stage) {
	if !x.headSent {
		x.active.setStage(s)
	}
}

// stageField returns the log field of the stage in which a request failed.
func (x *run) stageField(failed bool) zap.Field {
	if !failed || x.active == nil {
		return zap.Skip()
	}
	return zap.Stringer("stage", x.active.loadStage())
}

// stoppingField returns the log field of the time since the stop of the router began, if it did.
func (e *Engine) stoppingField(now time.Time) zap.Field {
	if !e.stopping.Load() {
		return zap.Skip()
	}
	return zap.Int64("stoppingMs", now.Sub(e.stoppedAt).Milliseconds())
}
