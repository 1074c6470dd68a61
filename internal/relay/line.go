// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// line is a fit of a straight line by least squares, in which older points count
// less and less. The zero value has no points.
type line struct {
	// n is the weight of all points; x, y, xx and xy are weighted sums.
	n, x, y, xx, xy float64
}

const (
	// lineKept is what is left of a point's weight at the next one: a router of
	// the users' sites sees several answers of a model each second, and the load
	// changes within seconds.
	lineKept = 0.97
	// lineSpread is the least variance of x, in shares of its mean squared, that
	// gives the line a slope of its own; below, it goes through the origin.
	lineSpread = 0.05
)

// add takes in a point.
func (l *line) add(x, y float64) {
	l.n = l.n*lineKept + 1
	l.x = l.x*lineKept + x
	l.y = l.y*lineKept + y
	l.xx = l.xx*lineKept + x*x
	l.xy = l.xy*lineKept + x*y
}

// at returns y at x, 0 or more; 0 without points.
func (l *line) at(x float64) float64 {
	if l == nil || l.n == 0 {
		return 0
	}
	mx, my := l.x/l.n, l.y/l.n
	if mx == 0 {
		return my
	}
	variance := l.xx/l.n - mx*mx
	slope := my / mx
	if variance > lineSpread*mx*mx {
		slope = min(max((l.xy/l.n-mx*my)/variance, 0), slope)
	}
	return max(my+slope*(x-mx), 0)
}
