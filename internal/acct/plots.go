// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"maps"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots writes the plots as SVG files to an existing directory. Call Finish before. It
// overwrites files of the same name and returns the first error, wrapped.
func (a *Account) WritePlots(dir string) error {
	for _, p := range []struct {
		file, title, x, y string
		draw              func(p *plot.Plot) error
	}{
		{"heads.svg", "Times to the head", "foretold, ms", "actual, ms", a.drawHeads},
		{"lateness.svg", "Lateness of requests, by when they came", "second", "s late, all together", a.drawLateness},
		{"load.svg", "Attempts at endpoints, busiest first", "endpoint", "attempts", a.drawLoad},
		{"calls.svg", "Calls to the store", "second", "calls", a.drawCalls},
	} {
		out := plot.New()
		out.Title.Text, out.X.Label.Text, out.Y.Label.Text = p.title, p.x, p.y
		if err := p.draw(out); err != nil {
			return errors.Wrap(err, "account")
		}
		if err := out.Save(plotWidth, plotHeight, filepath.Join(dir, p.file)); err != nil {
			return errors.Wrap(err, "account")
		}
	}
	return nil
}

func (a *Account) drawHeads(p *plot.Plot) error {
	xy, limit := plotter.XYs{}, 0.0
	for _, k := range a.headTimeKeys() {
		h := a.headTimes[k]
		for i := range h.actual {
			xy = append(xy, plotter.XY{X: h.predicted[i], Y: h.actual[i]})
			limit = max(limit, h.predicted[i], h.actual[i])
		}
	}
	dots, err := plotter.NewScatter(xy)
	if err != nil {
		return err
	}
	dots.Radius = vg.Points(1)
	diagonal, err := plotter.NewLine(plotter.XYs{{}, {X: limit, Y: limit}})
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), dots, diagonal)
	return nil
}

func (a *Account) drawLateness(p *plot.Plot) error {
	bySecond := make(map[int]float64)
	for k, r := range a.missRows {
		if k.mainCause.served() {
			bySecond[k.second] += float64(r.OverMs) / 1000
		}
	}
	return drawSeconds(p, bySecond)
}

func (a *Account) drawCalls(p *plot.Plot) error {
	bySecond := make(map[int]float64)
	for _, r := range a.calls {
		for _, s := range r.seconds {
			bySecond[s]++
		}
	}
	return drawSeconds(p, bySecond)
}

// drawSeconds draws sums by second as steps, from the first second with a sum to the last; seconds
// without one count as 0. Without sums it draws nothing.
func drawSeconds(p *plot.Plot, sums map[int]float64) error {
	if len(sums) == 0 {
		return nil
	}
	seconds := slices.Sorted(maps.Keys(sums))
	xy := plotter.XYs{}
	for s := seconds[0]; s <= seconds[len(seconds)-1]; s++ {
		xy = append(xy, plotter.XY{X: float64(s), Y: sums[s]})
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	line.StepStyle = plotter.PostStep
	p.Add(plotter.NewGrid(), line)
	return nil
}

func (a *Account) drawLoad(p *plot.Plot) error {
	counts := slices.Sorted(maps.Values(a.attemptCounts))
	slices.Reverse(counts)
	values := make(plotter.Values, len(counts))
	for i, n := range counts {
		values[i] = float64(n)
	}
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, plotWidth/vg.Length(2*len(values)))
	if err != nil {
		return err
	}
	p.Add(bars)
	return nil
}
