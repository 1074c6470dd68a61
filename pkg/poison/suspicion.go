// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxReportedCrashes is the largest number of crashes that a report of one request carries, and
	// that one value returned by Suspicions holds if it has crashes alone.
	MaxReportedCrashes = 12
	// assumedAge is the assumed time that a request had been at an endpoint when it crashed, for
	// crashes in suspicions, which do not carry it. It is longer than most, so that the model
	// rather attributes frequent crashes to chance.
	assumedAge = 5 * time.Second
)

// Suspicions returns what a starting process needs besides verdicts: the recent crashes, from
// which it recognises correlated crashes, followed by at most so many suspects of each kind, the
// one with the latest crash first. Each is a Verdict of round 0, to be passed to Merge; one with a
// zero fingerprint holds crashes alone, at most MaxReportedCrashes. It returns nil if there are no
// suspects.
func (d *Detector) Suspicions(limit int) (list []Verdict) {
	if len(d.requests) == 0 && len(d.parts) == 0 {
		return nil
	}
	var crashes []Crash
	for _, r := range d.recent {
		crashes = append(crashes, r.Crash)
	}
	for part := range slices.Chunk(crashes, MaxReportedCrashes) {
		list = append(list, Verdict{Crashes: part})
	}
	for _, suspects := range []map[Fingerprint]*suspect{d.requests, d.parts} {
		names := slices.Collect(maps.Keys(suspects))
		slices.SortFunc(names, func(p, q Fingerprint) int { return suspects[q].at.Compare(suspects[p].at) })
		for _, p := range names[:min(len(names), limit)] {
			list = append(list, suspects[p].suspicion(p))
		}
	}
	return list
}

// Suspicion returns the suspicion against a part as a Verdict of round 0; ok is false if it is not
// suspected.
func (d *Detector) Suspicion(p Fingerprint) (v Verdict, ok bool) {
	s := d.parts[p]
	if s == nil {
		return Verdict{}, false
	}
	return s.suspicion(p), true
}

// suspicion returns the suspicion against the subject p as a Verdict of round 0.
func (s *suspect) suspicion(p Fingerprint) Verdict {
	v := Verdict{Fingerprint: p, Part: s.part}
	for _, e := range s.crashes {
		v.Crashes = append(v.Crashes, e.Crash)
	}
	return v
}

// mergeSuspicion merges a suspicion of another process. The suspect is judged only at its next
// crash: until then the subject ran no more often than other processes already know.
func (d *Detector) mergeSuspicion(v Verdict) {
	for _, e := range v.Crashes {
		d.addRecent(e, false)
	}
	if v.Fingerprint == (Fingerprint{}) || d.records[v.Fingerprint] != nil {
		return
	}
	if !d.sound.at(v.Fingerprint).Before(firstOf(v.Crashes)) && v.Fingerprint.IsPart() {
		return
	}
	for _, e := range v.Crashes {
		d.getOrAddSuspect(Subject{v.Fingerprint, v.Part}).add(evidence{Crash: e, age: assumedAge})
	}
}
