// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
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
// which it recognises correlated crashes, followed by at most so many suspects, the one with the
// latest crash first. Each is a Verdict of round 0, to be passed to Merge; one with a zero
// fingerprint holds crashes alone, at most MaxReportedCrashes. It returns nil if there are no
// suspects.
func (d *Detector) Suspicions(limit int) (list []Verdict) {
	if len(d.suspects) == 0 {
		return nil
	}
	var crashes []Crash
	for _, r := range d.recent {
		crashes = append(crashes, r.Crash)
	}
	for part := range slices.Chunk(crashes, MaxReportedCrashes) {
		list = append(list, Verdict{Crashes: part})
	}
	names := make([]Fingerprint, 0, len(d.suspects))
	for p := range d.suspects {
		names = append(names, p)
	}
	slices.SortFunc(names, func(p, q Fingerprint) int { return d.suspects[q].at.Compare(d.suspects[p].at) })
	for _, p := range names[:min(len(names), limit)] {
		list = append(list, Verdict{Fingerprint: p, Crashes: slices.Clone(d.suspects[p].crashes)})
	}
	return list
}

// mergeSuspicion merges a suspicion of another process. The suspect is judged only at its next
// crash: until then the request ran no more often than other processes already know.
func (d *Detector) mergeSuspicion(v Verdict) {
	for _, e := range v.Crashes {
		d.addRecent(e, false)
	}
	if v.Fingerprint == (Fingerprint{}) || d.records[v.Fingerprint] != nil {
		return
	}
	for _, e := range v.Crashes {
		d.getOrAddSuspect(v.Fingerprint).add(e, assumedAge)
	}
}
