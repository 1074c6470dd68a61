// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"cmp"
	"slices"
)

// RouteSummary is the evidence of a Judge on one route or aspect, for logs.
type RouteSummary struct {
	// Route is as in an Answer.
	Route uint32
	// OldAnswers is the number of the old version's answers, OldBadShare the moving
	// average of their share of bad ones, 0 to 1.
	OldAnswers  int
	OldBadShare float64
	// NewGood and NewBad are the numbers of the new version's good and bad answers.
	NewGood, NewBad int
	// Sum is the cumulative sum and LLR the log likelihood ratio, both without the part
	// that a single failing endpoint may have caused. Positive values are evidence
	// against the new version.
	Sum, LLR float64
}

// Summaries returns the evidence on each route and aspect, the strongest against the new
// version first.
func (j *Judge) Summaries() []RouteSummary {
	list := make([]RouteSummary, 0, len(j.routes))
	for route, e := range j.routes {
		list = append(list, RouteSummary{Route: route, OldAnswers: e.oldAnswers, OldBadShare: e.oldBadShare, NewGood: e.newGood, NewBad: e.newBad,
			Sum: j.adjustedSum(e), LLR: j.adjusted(e, e.llr)})
	}
	slices.SortFunc(list, func(a, b RouteSummary) int {
		return cmp.Or(cmp.Compare(b.Sum, a.Sum), cmp.Compare(b.LLR, a.LLR), cmp.Compare(a.Route, b.Route))
	})
	return list
}
