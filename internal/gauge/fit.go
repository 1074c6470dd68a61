// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package gauge

import (
	"fmt"
	"io"
	"math"
)

// Point is one measurement: Y is the value measured at X.
type Point struct {
	X, Y float64
}

// Fit is a straight line fitted by least squares. Slope is in units of Y per unit of X, and
// Intercept in units of Y.
type Fit struct {
	Slope, Intercept float64
	// StdError is the standard error of Slope; 0 for two points.
	StdError float64
}

// FitLine fits a line by ordinary least squares. There must be at least two points with
// different X.
func FitLine(ps []Point) Fit {
	n := float64(len(ps))
	var sx, sy, sxx, sxy float64
	for _, p := range ps {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	d := n*sxx - sx*sx
	f := Fit{Slope: (n*sxy - sx*sy) / d}
	f.Intercept = (sy - f.Slope*sx) / n
	if len(ps) < 3 {
		return f
	}
	var rss float64
	for _, p := range ps {
		e := p.Y - f.Intercept - f.Slope*p.X
		rss += e * e
	}
	f.StdError = math.Sqrt(rss / (n - 2) / (sxx - sx*sx/n))
	return f
}

// writeFit prints the fitted slope and intercept of y, a quantity of name, per x, and the points.
func writeFit(w io.Writer, name, x, y string, ps []Point) {
	f := FitLine(ps)
	_, _ = fmt.Fprintf(w, "%s: %s per %s %.6g +- %.2g, at none %.6g; points", name, y, x, f.Slope, f.StdError, f.Intercept)
	for _, p := range ps {
		_, _ = fmt.Fprintf(w, " (%g, %.6g)", p.X, p.Y)
	}
	_, _ = fmt.Fprintln(w)
}
