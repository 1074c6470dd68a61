// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"slices"
	"time"
)

const (
	// ToldTogether is how many crashes are told of one request at most, and stand in one of the values
	// that Suspicions returns for crashes alone.
	ToldTogether = 12
	// recalledAge is how long a request is taken to have been at an endpoint under a crash that was told
	// later, which does not say so: longer than most, so that crashes that come often are rather put
	// down to chance.
	recalledAge = 5 * time.Second
)

// Suspicions returns what a process that starts anew should know besides verdicts: up to so many
// suspects, the latest first, and before them the crashes that came of late, by which waves are known.
// Each is a Verdict of round 0, for Learn; one without a fingerprint tells of crashes alone.
func (b *Book) Suspicions(most int) (list []Verdict) {
	if len(b.suspects) == 0 {
		return nil
	}
	var crashes []Crash
	for _, r := range b.recent {
		crashes = append(crashes, r.Crash)
	}
	for part := range slices.Chunk(crashes, ToldTogether) {
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

// recall takes over a suspicion of another process. It is judged with the next crash: until then the
// request ran as often as others know.
func (b *Book) recall(v Verdict) {
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
