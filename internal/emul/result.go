// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

// Result is the outcome of a policy, summed over seeds.
type Result struct {
	// Requests is the number of arrivals, Late that of answers that missed a target, Weak that
	// of answers from a model whose quality is below the request's difficulty, and Dropped
	// that of answers given up for a larger model's.
	Requests, Late, Weak, Dropped int
	// Crashes is the number of endpoints that crashed, Lost that of requests that ended with them or found
	// none, and Refused that of requests that were refused because of a part of their prompts.
	Crashes, Lost, Refused int
	// QuarantinedParts lists the parts that were quarantined, in the order of their verdicts.
	QuarantinedParts []string
	// TokensRead is the number of prompt tokens that were read, TokensCached that of prompt
	// tokens found in an endpoint's cache.
	TokensRead, TokensCached int
	// offered is the value of all requests, earned that of the delivered answers and cost the
	// cost of all runs, in the unit of Class.Value.
	offered, earned, cost float64
	// headTimes and totalTimes are the times from arrival to the first and to the last token
	// of each delivered answer.
	headTimes, totalTimes []time.Duration
	// expectedSeconds and actualSeconds are the expected and actual times to the first token
	// of the runs that had an expected time, in seconds from the run's start.
	expectedSeconds, actualSeconds []float64
}

// recordHead records the expected and the actual time to the first token of a run. An expected
// time of 0 or less means that there was none; the run is then left out.
func (r *Result) recordHead(expected, actual time.Duration) {
	if expected > 0 {
		r.expectedSeconds = append(r.expectedSeconds, expected.Seconds())
		r.actualSeconds = append(r.actualSeconds, actual.Seconds())
	}
}

// Correlation returns the correlation of the expected and the actual times to the first token;
// NaN if no time was expected.
func (r *Result) Correlation() float64 {
	return stat.Correlation(r.expectedSeconds, r.actualSeconds, nil)
}

// Worth returns the value earned less the models' cost, as a part of the value of all requests.
func (r *Result) Worth() float64 { return (r.earned - r.cost) / max(r.offered, 1) }

func (r *Result) add(o Result) {
	r.Requests += o.Requests
	r.Late += o.Late
	r.Weak += o.Weak
	r.Dropped += o.Dropped
	r.Crashes += o.Crashes
	r.Lost += o.Lost
	r.Refused += o.Refused
	r.QuarantinedParts = append(r.QuarantinedParts, o.QuarantinedParts...)
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

// WriteTable simulates all policies with all seeds and writes a table with a row for each policy.
func WriteTable(w io.Writer, x *Experiment) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	trouble := x.CrashingPart.Share > 0
	head := "policy\tworth\trequests\tlate\tweak\tdropped\tread\tkept\thead p50\tp99\tstream p50\tp99\t\n"
	if trouble {
		head = strings.TrimSuffix(head, "\n") + "crashes\tlost\trefused\t\n"
	}
	if _, err := io.WriteString(t, head); err != nil {
		return errors.Wrap(err, "emul")
	}
	for i := range x.Policies {
		var sum Result
		for _, seed := range x.Seeds {
			sum.add(Simulate(x, &x.Policies[i], seed))
		}
		if _, err := fmt.Fprintf(t, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t", x.Policies[i].Name, sum.Worth(), sum.Requests, sum.Late, sum.Weak, sum.Dropped,
			sum.TokensRead, sum.TokensCached, quantile(sum.headTimes, 50), quantile(sum.headTimes, 99), quantile(sum.totalTimes, 50), quantile(sum.totalTimes, 99)); err != nil {
			return errors.Wrap(err, "emul")
		}
		last := "\n"
		if trouble {
			last = fmt.Sprintf("%d\t%d\t%d\t\n", sum.Crashes, sum.Lost, sum.Refused)
		}
		if _, err := io.WriteString(t, last); err != nil {
			return errors.Wrap(err, "emul")
		}
	}
	return errors.Wrap(t.Flush(), "emul")
}

// quantile returns the value below which the given percentage of the list lies, rounded to
// milliseconds; 0 for an empty list. It sorts the list.
func quantile(list []time.Duration, percent int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)*percent/100, len(list)-1)].Round(time.Millisecond)
}
