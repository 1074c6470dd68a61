// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"time"
)

const (
	// paceGaps is how many of the first times between the pieces of a stream are looked at;
	// two thirds of the users' streams have as many pieces.
	paceGaps = 7
	// paceWindow is how many of them in a row are looked at as one.
	paceWindow = 3
)

// pace finds the shortest of the first times between the pieces of a stream, and the
// shortest that some pieces in a row took: an endpoint that reads others' prompts in between
// makes the other times longer. A single one is the surer sign where pieces come as they are
// made. But an endpoint may write several at once, and a socket or a busy process may hold
// one up until the next, so that a single time is near 0 whatever the endpoint does; of
// several in a row, one has what another one lacks.
type pace struct {
	// minGap is the shortest time, minRow the shortest of paceWindow in a row.
	minGap, minRow time.Duration
	// last holds the last times, and row is their sum.
	last [paceWindow]time.Duration
	row  time.Duration
	n    int
}

// add notes the time before a piece of a stream, the first of which is no gap, and reports
// whether this was the last one that counts.
func (p *pace) add(gap time.Duration) bool {
	p.n++
	if p.n < 2 || p.n > paceGaps+1 {
		return false
	}
	gaps := p.n - 1
	oldest := &p.last[gaps%paceWindow]
	p.row += gap - *oldest
	*oldest = gap
	if gaps == 1 || gap < p.minGap {
		p.minGap = gap
	}
	if gaps == paceWindow || gaps > paceWindow && p.row < p.minRow {
		p.minRow = p.row
	}
	return gaps == paceGaps
}

// geoMean is the decayed geometric mean of times, so that some long ones weigh little. The
// zero value is empty.
type geoMean struct{ log average }

func (u *geoMean) add(d time.Duration) { u.log.add(math.Log(float64(max(d, 1)))) }

// mean returns the mean; 0 if there is none.
func (u *geoMean) mean() time.Duration {
	if u.log.n == 0 {
		return 0
	}
	return time.Duration(math.Exp(u.log.value))
}

// usualPace is what the paces of streams usually are.
type usualPace struct{ single, row geoMean }

func (u *usualPace) add(p *pace) {
	u.single.add(p.minGap)
	u.row.add(p.minRow)
}
