// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"time"
)

const (
	// paceGaps is how many of the first times between the reads of a stream are used. Two thirds of
	// streams have as many.
	paceGaps = 7
	// paceWindow is how many times in a row are also added up.
	paceWindow = 3
)

// pace finds the shortest of the first times between the reads of a stream, and the shortest sum of
// some of them in a row. The minimum is used because an endpoint that reads other prompts in
// between makes the other times longer. A single time is the better measure where the endpoint
// sends events as it makes them. But an endpoint may write several at once, and a socket or a busy
// process may delay one until the next, so that a single time is near 0 whatever the endpoint does.
// In a sum of several in a row such shifts cancel out.
type pace struct {
	// minGap is the shortest time, minRow the shortest sum of paceWindow times in a row.
	minGap, minRow time.Duration
	// last holds the last times; row is their sum.
	last [paceWindow]time.Duration
	row  time.Duration
	n    int
}

// add adds the time before a read of a stream; that before the first read is ignored. It reports
// whether this was the last time that is used.
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

// geoMean is the exponentially weighted geometric mean of times, in which single long ones have
// little weight. The zero value has no data.
type geoMean struct{ log average }

func (u *geoMean) add(d time.Duration) { u.log.add(math.Log(float64(max(d, 1)))) }

// mean returns the mean; 0 without data.
func (u *geoMean) mean() time.Duration {
	if u.log.n == 0 {
		return 0
	}
	return time.Duration(math.Exp(u.log.value))
}

// usualPace holds the usual values of pace.minGap and pace.minRow.
type usualPace struct{ single, row geoMean }

func (u *usualPace) add(p *pace) {
	u.single.add(p.minGap)
	u.row.add(p.minRow)
}
