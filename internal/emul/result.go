// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// Result is what came of a policy. Results of several seeds are added.
type Result struct {
	// Requests counts those that arrived, Late those whose answer came late,
	// Weak those whose model was not good enough, Dropped the answers given up
	// for a larger model's.
	Requests, Late, Weak, Dropped int
	// TokensRead and TokensCached count tokens of prompts that were read, and that were in
	// memory.
	TokensRead, TokensCached int
	// offered is the value of all requests, earned that of the answers, cost what
	// the models cost.
	offered, earned, cost float64
	headTimes, totalTimes []time.Duration
	// expectedSeconds and actualSeconds are the times to the head of all runs, in seconds, as far as
	// they were expectedSeconds.
	expectedSeconds, actualSeconds []float64
}

// recordHead notes how long the head of a run took, and how long it was expected to; 0 or less
// for no expectation.
func (r *Result) recordHead(expected, actual time.Duration) {
	if expected > 0 {
		r.expectedSeconds = append(r.expectedSeconds, expected.Seconds())
		r.actualSeconds = append(r.actualSeconds, actual.Seconds())
	}
}

// Correlation returns that of foretold and actual times to the head; not a number where
// none was foretold.
func (r *Result) Correlation() float64 {
	return stat.Correlation(r.expectedSeconds, r.actualSeconds, nil)
}

// Worth returns the earned part of the value, less the models' cost.
func (r *Result) Worth() float64 { return (r.earned - r.cost) / max(r.offered, 1) }

func (r *Result) add(o Result) {
	r.Requests += o.Requests
	r.Late += o.Late
	r.Weak += o.Weak
	r.Dropped += o.Dropped
	r.TokensRead += o.TokensRead
	r.TokensCached += o.TokensCached
	r.offered += o.offered
	r.earned += o.earned
	r.cost += o.cost
	r.headTimes = append(r.headTimes, o.headTimes...)
	r.totalTimes = append(r.totalTimes, o.totalTimes...)
	r.expectedSeconds = append(r.expectedSeconds, o.expectedSeconds...)
	r.actualSeconds = append(r.actualSeconds, o.actualSeconds...)
}

// WriteTable plays all policies with all seeds and writes a table of them.
func WriteTable(w io.Writer, x *Experiment) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := "policy\tworth\trequests\tlate\tweak\tdropped\tread\tkept\thead p50\tp99\tstream p50\tp99\t\n"
	if _, err := io.WriteString(t, head); err != nil {
		return errors.Wrap(err, "emul")
	}
	for i := range x.Policies {
		var sum Result
		for _, seed := range x.Seeds {
			sum.add(Simulate(x, &x.Policies[i], seed))
		}
		if _, err := fmt.Fprintf(t, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t\n", x.Policies[i].Name, sum.Worth(), sum.Requests, sum.Late, sum.Weak, sum.Dropped,
			sum.TokensRead, sum.TokensCached, quantile(sum.headTimes, 50), quantile(sum.headTimes, 99), quantile(sum.totalTimes, 50), quantile(sum.totalTimes, 99)); err != nil {
			return errors.Wrap(err, "emul")
		}
	}
	return errors.Wrap(t.Flush(), "emul")
}

// quantile returns the value under which so many hundredths of a list lie.
func quantile(list []time.Duration, percent int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)*percent/100, len(list)-1)].Round(time.Millisecond)
}
