// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package finish

import "math"

const (
	// lineWeight is the weight of one value once 1/lineWeight values were added. A router gets one to five
	// answers of a route per second, and the kinds of requests change within a minute.
	lineWeight = 0.02
	// minValues is the number of values from which on an estimate is used: with fewer, the error of the
	// spread is above a quarter.
	minValues = 10
	// maxOutlier is how many standard deviations from the mean a value of x counts at most. One absurd hint
	// changes the lengths expected of others by up to 0.12 at 2.5, and by 0.38 at 4, in logarithms.
	maxOutlier = 2.5
)

// line is an exponentially weighted linear regression of y on x. All values of a line must be added with the
// same ridge.
type line struct {
	n             int
	mx, my        float64
	sxx, sxy, syy float64
	// slope is that of the regression; low and high bound x. add computes them, so that at is cheap.
	slope, low, high float64
}

// ridge pulls the slope of a line to prior with the weight of a variance of x, and bounds the slope. minSD is
// the least standard deviation of x that bounds outliers.
type ridge struct{ prior, weight, low, high, minSD float64 }

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// bound limits x to maxOutlier standard deviations from the mean of the values added.
func (l *line) bound(x float64) float64 {
	if l.n < minValues {
		return x
	}
	return min(max(x, l.low), l.high)
}

func (l *line) add(x, y float64, r *ridge) {
	if !finite(x) || !finite(y) {
		return
	}
	x = l.bound(x)
	if l.n < math.MaxInt32 {
		l.n++
	}
	w := max(lineWeight, 1/float64(l.n))
	dx, dy := x-l.mx, y-l.my
	l.mx += w * dx
	l.my += w * dy
	l.sxx = (1 - w) * (l.sxx + w*dx*dx)
	l.sxy = (1 - w) * (l.sxy + w*dx*dy)
	l.syy = (1 - w) * (l.syy + w*dy*dy)
	d := maxOutlier * max(math.Sqrt(l.sxx), r.minSD)
	l.low, l.high = l.mx-d, l.mx+d
	l.slope = min(max((l.sxy+r.weight*r.prior)/(l.sxx+r.weight), r.low), r.high)
}

// at returns the expected y at x.
func (l *line) at(x float64) float64 { return l.my + l.slope*(l.bound(x)-l.mx) }

// variance returns the variance of y around the line.
func (l *line) variance() float64 {
	return max(l.syy-2*l.slope*l.sxy+l.slope*l.slope*l.sxx, 0)
}
