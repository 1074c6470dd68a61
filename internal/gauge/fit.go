// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package gauge

import (
	"fmt"
	"io"
	"math"
)

// Point is one measured point of a slope.
type Point struct {
	X, Y float64
}

// Fit is a least-squares line through points.
type Fit struct {
	Slope, Intercept float64
	// StdError is the standard error of the slope; 0 for two points.
	StdError float64
}

// FitLine fits a line through at least two points of different X (ordinary
// least squares).
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

// writeFit prints a slope with its points.
func writeFit(w io.Writer, name, x, y string, ps []Point) {
	f := FitLine(ps)
	_, _ = fmt.Fprintf(w, "%s: %s per %s %.6g +- %.2g, at none %.6g; points", name, y, x, f.Slope, f.StdError, f.Intercept)
	for _, p := range ps {
		_, _ = fmt.Fprintf(w, " (%g, %.6g)", p.X, p.Y)
	}
	_, _ = fmt.Fprintln(w)
}
