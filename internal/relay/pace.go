// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"slices"
	"time"
)

const (
	// paceGaps is how many of the first times between the events of a stream tell its
	// pace; two thirds of the users' streams have as many events.
	paceGaps = 7
	// paceRank is which of them, from the shortest on, is the pace: an endpoint that
	// reads others' prompts in between makes all but a few longer.
	paceRank = 1
)

// pace gathers the first times between the events of a stream.
type pace struct {
	gaps [paceGaps]time.Duration
	n    int
}

// add notes the time before a piece of a stream, the first of which is no gap, and reports
// whether this was the last one that counts.
func (p *pace) add(gap time.Duration) bool {
	p.n++
	if p.n < 2 || p.n > paceGaps+1 {
		return false
	}
	p.gaps[p.n-2] = gap
	return p.n == paceGaps+1
}

// usual returns the time between events while the endpoint does little else.
func (p *pace) usual() time.Duration {
	sorted := p.gaps
	slices.Sort(sorted[:])
	return sorted[paceRank]
}

// usualPace is the decayed geometric mean of the paces of streams, so that some slow ones
// weigh little. The zero value is empty.
type usualPace struct {
	log float64
	n   int
}

func (u *usualPace) add(gap time.Duration) {
	u.n++
	u.log += (math.Log(float64(max(gap, 1))) - u.log) * max(meanWeight, 1/float64(u.n))
}

// gap returns the mean; 0 if there is none.
func (u *usualPace) gap() time.Duration {
	if u.n == 0 {
		return 0
	}
	return time.Duration(math.Exp(u.log))
}
