// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"encoding/binary"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/poison"
)

const (
	// maxTrackedParts is the largest number of shared parts of a prompt that are tracked: the first
	// and the last of them.
	maxTrackedParts = 16
	// maxReportedParts is the largest number of parts that are reported for one crash. An endpoint
	// runs 64 requests, whose prompts have two or three shared parts each.
	maxReportedParts = 256
	// survivalTime is the time after which an endpoint is taken to have survived the answer to a
	// request. One that crashes under a request does so within a quarter of a second.
	survivalTime = 500 * time.Millisecond
)

// subjectsOf returns the shared parts of the prompt as subjects of evidence: each for the workspace
// of the caller and for all workspaces. Parts whose names are too long to be exchanged are left out.
// mu of the engine is held.
func (r *Request) subjectsOf(service, workspace string) []poison.Subject {
	if r.subjects != nil || len(r.Prefix) < 2 {
		return r.subjects
	}
	ids := r.sharedParts()
	if len(ids) > maxTrackedParts {
		ids = slices.Concat(ids[:maxTrackedParts/2], ids[len(ids)-maxTrackedParts/2:])
	}
	r.subjects = make([]poison.Subject, 0, 2*len(ids))
	for i, id := range ids {
		own := poison.Part{ID: id, Service: service, Caller: workspace}
		if slices.Contains(ids[:i], id) || !own.Trackable() {
			continue
		}
		r.subjects = append(r.subjects, own.Subject(), own.OfAnyCaller().Subject())
	}
	return r.subjects
}

// subjects returns the parts of the request; mu is held.
func (x *run) subjects() []poison.Subject {
	workspace := ""
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	return x.r.subjectsOf(x.service, workspace)
}

// holder identifies the request at a crash under a part.
func (s *sentRequest) holder() uint64 {
	p := s.requestFingerprint()
	return binary.BigEndian.Uint64(p[:])
}

// survivedBy reports whether the endpoint has answered the request for survivalTime.
func (s *sentRequest) survivedBy(now time.Time) bool {
	return s.attempt != nil && !s.headAt.IsZero() && now.Sub(s.headAt) >= survivalTime
}

// countCrashForParts records the crash of an endpoint under the parts of requests that it may have
// been running, and reports it to other routers; mu is held.
func (e *Engine) countCrashForParts(requests []*sentRequest, service string, hash uint64, now time.Time) {
	latest := make(map[poison.Fingerprint]*sentRequest)
	var parts []poison.Subject
	for _, s := range requests {
		for _, t := range s.subjects {
			known := latest[t.Fingerprint]
			switch {
			case t.Part.AnyCaller || known == nil && len(parts) >= maxReportedParts:
				continue
			case known == nil:
				parts = append(parts, t)
			case !s.sentAt.After(known.sentAt):
				continue
			}
			latest[t.Fingerprint] = s
		}
	}
	if len(parts) == 0 {
		return
	}
	survivors, others := e.countSurvivors(service, hash, now)
	reports := make([]poison.PartReport, 0, len(parts))
	for _, t := range parts {
		s := latest[t.Fingerprint]
		r := poison.PartReport{Part: t.Part, Endpoint: hash, Age: now.Sub(s.sentAt), Holder: s.holder(), SoundAge: e.crashes.SoundAge(now, t.Fingerprint)}
		if others > 0 {
			r.Survival = float64(survivors[t.Fingerprint]) / float64(others)
		}
		reports = append(reports, r)
		e.recordPart(&r, true, now)
	}
	e.Quarantines.SendParts(reports)
}

// countSurvivors counts the endpoints of a service, other than one, that have answered requests of this
// router for survivalTime: those that have answered requests with each part, and all; mu is held.
func (e *Engine) countSurvivors(service string, except uint64, now time.Time) (byPart map[poison.Fingerprint]int, all int) {
	byPart = make(map[poison.Fingerprint]int)
	for hash, b := range e.inFlight {
		if hash == except || now.Sub(b.goneAt) <= crashWindow {
			continue
		}
		seen := make(map[poison.Fingerprint]bool)
		survived := false
		for _, s := range b.requests {
			if s.service != service || !s.survivedBy(now) {
				continue
			}
			survived = true
			for i := range s.subjects {
				if p := s.subjects[i].Fingerprint; !seen[p] {
					seen[p] = true
					byPart[p]++
				}
			}
		}
		if survived {
			all++
		}
	}
	return byPart, all
}

const (
	// partInquiryAt is the number of crashes under a part at which its first collectors, as many as
	// maxInquirers, tell all routers that it is suspected: those report from then on that requests
	// with it were answered.
	partInquiryAt = 3
	maxInquirers  = 2
)

// recordPart applies a report on a part. own says that this router observed it; mu is held.
func (e *Engine) recordPart(r *poison.PartReport, own bool, now time.Time) {
	why := "other routers told of crashes or answers"
	if own {
		why = "an endpoint crashed under it here"
	}
	p := r.Part.Subject().Fingerprint
	before := e.crashes.Crashes(p)
	changed, pending := e.crashes.RecordPart(now, r, own)
	e.publishVerdicts(changed, why)
	if pending {
		e.signalJudge()
	}
	if after := e.crashes.Crashes(p); before < partInquiryAt && after >= partInquiryAt && e.collectorRank(&r.Part) < maxInquirers {
		if v, ok := e.crashes.Suspicion(p); ok {
			e.Quarantines.SendVerdicts([]poison.Verdict{v})
		}
	}
}

// collectorRank returns how many routers come before this one among the collectors of the reports on a part.
func (e *Engine) collectorRank(t *poison.Part) int {
	return e.Quarantines.Rank(t.OfAnyCaller().Subject().Fingerprint)
}

// mayJudge reports whether this router may judge a part: it receives all reports on it, or is the only
// one that can.
func (e *Engine) mayJudge(t *poison.Part) bool {
	return e.collectorRank(t) <= e.Quarantines.PartCollectors || e.Quarantines.Alone()
}

// ReceiveParts applies another router's reports on parts.
func (e *Engine) ReceiveParts(list []poison.PartReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	var sound []poison.PartReport
	for i := range list {
		r := &list[i]
		p := r.Part.Subject().Fingerprint
		known := e.crashes.Crashes(p) > 0
		e.recordPart(r, false, now)
		if !known && r.Endpoint != 0 {
			sound = e.appendSound(sound, r.Part, p, r.SoundAge, now)
		}
	}
	if len(sound) > 0 {
		e.Quarantines.SendParts(sound)
	}
}

// appendSound appends a report on a part that has become suspected, if this router was answered a request
// with it later than known says; mu is held.
func (e *Engine) appendSound(list []poison.PartReport, t poison.Part, p poison.Fingerprint, known time.Duration, now time.Time) []poison.PartReport {
	if age := e.crashes.SoundAge(now, p); age > 0 && (known == 0 || age < known) {
		return append(list, poison.PartReport{Part: t, SoundAge: age})
	}
	return list
}

// answerSuspicions reports what speaks for parts that another router suspects; mu is held.
func (e *Engine) answerSuspicions(list []poison.Verdict) {
	var sound []poison.PartReport
	now := e.Now()
	for i := range list {
		if v := &list[i]; v.Round == 0 && v.Part != (poison.Part{}) {
			sound = e.appendSound(sound, v.Part, v.Fingerprint, 0, now)
		}
	}
	if len(sound) > 0 {
		e.Quarantines.SendParts(sound)
	}
}

// recordSoundParts records that the request of s was answered completely, and reports it where its parts
// were suspected; mu is held.
func (e *Engine) recordSoundParts(s *sentRequest, now time.Time) {
	began := s.sentAt
	if !s.headAt.IsZero() {
		began = s.headAt
	}
	cleared, lifted := e.crashes.RecordAnswer(now, began, s.service, s.subjects)
	e.publishVerdicts(lifted, "an endpoint answered a request with it whole")
	reports := make([]poison.PartReport, 0, len(cleared))
	for _, t := range cleared {
		// A report on the part of the workspace covers both.
		if own := (poison.Part{ID: t.Part.ID, Service: t.Part.Service, Caller: s.workspace}); !slices.ContainsFunc(reports, func(r poison.PartReport) bool { return r.Part == own }) {
			reports = append(reports, poison.PartReport{Part: own, SoundAge: max(now.Sub(began), time.Millisecond)})
		}
	}
	if len(reports) > 0 {
		e.Quarantines.SendParts(reports)
	}
}

// partFields returns the fields with which log lines name a part.
func partFields(t *poison.Part) []zap.Field {
	workspace := zap.String("workspace", t.Caller)
	if t.AnyCaller {
		workspace = zap.Bool("anyWorkspace", true)
	}
	return []zap.Field{zap.String("part", t.ID), zap.String("service", t.Service), workspace}
}
