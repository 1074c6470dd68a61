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
	// recalledAge is the assumed time that a request had been at an endpoint when it crashed, for
	// crashes in suspicions, which do not carry it. It is longer than most, so that the model
	// rather attributes frequent crashes to chance.
	recalledAge = 5 * time.Second
)

// Suspicions returns what a starting process needs besides verdicts: the recent crashes, from
// which it recognises correlated crashes, followed by at most so many suspects, the one with the
// latest crash first. Each is a Verdict of round 0, to be passed to Merge; one with a zero
// fingerprint holds crashes alone, at most MaxReportedCrashes. It returns nil if there are no
// suspects.
func (b *Detector) Suspicions(most int) (list []Verdict) {
	if len(b.suspects) == 0 {
		return nil
	}
	var crashes []Crash
	for _, r := range b.recent {
		crashes = append(crashes, r.Crash)
	}
	for part := range slices.Chunk(crashes, MaxReportedCrashes) {
		list = append(list, Verdict{Crashes: part})
	}
	names := make([]Fingerprint, 0, len(b.suspects))
	for p := range b.suspects {
		names = append(names, p)
	}
	slices.SortFunc(names, func(p, q Fingerprint) int { return b.suspects[q].at.Compare(b.suspects[p].at) })
	for _, p := range names[:min(len(names), most)] {
		list = append(list, Verdict{Fingerprint: p, Crashes: slices.Clone(b.suspects[p].crashes)})
	}
	return list
}

// recall merges a suspicion of another process. The suspect is judged only at its next crash:
// until then the request ran no more often than other processes already know.
func (b *Detector) recall(v Verdict) {
	for _, e := range v.Crashes {
		b.notice(e, false)
	}
	if v.Fingerprint == (Fingerprint{}) || b.records[v.Fingerprint] != nil {
		return
	}
	for _, e := range v.Crashes {
		b.suspectOf(v.Fingerprint).add(e, recalledAge)
	}
}
