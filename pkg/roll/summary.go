// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"cmp"
	"slices"
)

// RouteSummary is the evidence of a Judge on one route or aspect, for logs.
type Weight struct {
	// Route is as in an Answer.
	Route uint32
	// OldAnswers is the number of the old version's answers, OldBadShare the moving
	// average of their share of bad ones, 0 to 1.
	Old    int
	OldBad float64
	// NewGood and NewBad are the numbers of the new version's good and bad answers.
	Good, Bad int
	// Sum is the cumulative sum and LLR the log likelihood ratio, both without the part
	// that a single failing endpoint may have caused. Positive values are evidence
	// against the new version.
	Sum, Ratio float64
}

// Summaries returns the evidence on each route and aspect, the strongest against the new
// version first.
func (j *Judge) Weights() []Weight {
	list := make([]Weight, 0, len(j.routes))
	for route, e := range j.routes {
		list = append(list, Weight{Route: route, Old: e.oldSeen, OldBad: e.oldBad, Good: e.newGood, Bad: e.newBad,
			Sum: j.guilt(e), Ratio: e.any - j.excused(e)})
	}
	slices.SortFunc(list, func(a, b Weight) int {
		return cmp.Or(cmp.Compare(b.Sum, a.Sum), cmp.Compare(b.Ratio, a.Ratio), cmp.Compare(a.Route, b.Route))
	})
	return list
}
