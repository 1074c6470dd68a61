// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "slices"

// Mechanisms are the ways in which a router decides, where there are several, and what it does
// without. The zero value has the default ways and all mechanisms.
type Mechanisms struct {
	// Cascade is how it is decided whether a larger model is asked.
	Cascade Cascade
	// Without holds what is switched off, to see what it is worth.
	Without []Mechanism
}

// Cascade is a way to decide whether a larger model is asked.
type Cascade string

// The ways: CascadeWorth, the default, compares what the answer at hand is expected to earn with
// what larger models' would, less their cost; CascadeFixed compares confidences with two bounds.
const (
	CascadeWorth Cascade = "worth"
	CascadeFixed Cascade = "fixed"
)

// Mechanism is something that a router can do without.
type Mechanism string

// The mechanisms: asking larger models at all; sending a prompt where its shared part is held;
// taking it to be held where it belongs by its hash; weighing what a prompt's reading
// delays; letting short prompts go first at their endpoint; ending attempts that are silent;
// telling other routers of long prompts and of what endpoints will hold; telling them of
// failures.
const (
	LargerModels    Mechanism = "largerModels"
	PrefixHolders   Mechanism = "holders"
	HomeEndpoints   Mechanism = "belonging"
	DelayToOthers   Mechanism = "othersDelay"
	ShortFirst      Mechanism = "shortFirst"
	SilenceTimeouts Mechanism = "silenceBounds"
	LoadReports     Mechanism = "notes"
	FailureReports  Mechanism = "toldFailures"
)

// AllMechanisms are those that there are.
var AllMechanisms = []Mechanism{LargerModels, PrefixHolders, HomeEndpoints, DelayToOthers, ShortFirst, SilenceTimeouts, LoadReports, FailureReports}

// disabled reports whether a mechanism is switched off.
func (e *Engine) disabled(m Mechanism) bool {
	return slices.Contains(e.limits.Load().Mechanisms.Without, m)
}
