// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import (
	"cmp"
	"slices"
)

// Weight is what a Judge has of one route, for logs: Sum speaks against the version, as
// does a Ratio above 0; both are log likelihood ratios.
type Weight struct {
	// Route is as in an Answer.
	Route uint32
	// Old counts the old version's answers, OldBad is their decayed share of bad ones.
	Old    int
	OldBad float64
	// Good and Bad count the new version's answers.
	Good, Bad  int
	Sum, Ratio float64
}

// Weights returns what the judge has of each route, the strongest against the version
// first.
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
