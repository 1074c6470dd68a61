// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "slices"

// Mechanisms selects the ways in which the router decides. The zero value has the default ways and
// all mechanisms on.
type Mechanisms struct {
	// Cascade is the way to decide whether to ask a larger model; empty for CascadeWorth.
	Cascade Cascade
	// Without holds the mechanisms that are switched off, to measure what they contribute.
	Without []Mechanism
}

// Cascade is a way to decide whether to ask a larger model.
type Cascade string

// The ways to decide. CascadeWorth, the default, compares the expected worth of the answer at hand
// with that of larger models' answers less their cost. CascadeFixed compares confidences with two
// fixed thresholds.
const (
	CascadeWorth Cascade = "worth"
	CascadeFixed Cascade = "fixed"
)

// Mechanism is a part of the router that can be switched off.
type Mechanism string

// The mechanisms.
const (
	// LargerModels asks a larger model where an answer is weak.
	LargerModels Mechanism = "largerModels"
	// PrefixHolders sends a prompt to an endpoint that holds its shared prefix.
	PrefixHolders Mechanism = "holders"
	// HomeEndpoints takes into account that the home endpoint of a prefix, given by the prefix's
	// hash, may hold it without a report of that.
	HomeEndpoints Mechanism = "belonging"
	// DelayToOthers weighs how much reading a prompt delays other prompts.
	DelayToOthers Mechanism = "othersDelay"
	// ShortFirst lets short prompts go first at their endpoint.
	ShortFirst Mechanism = "shortFirst"
	// SilenceTimeouts ends attempts whose endpoint sends nothing for too long.
	SilenceTimeouts Mechanism = "silenceBounds"
	// LoadReports sends other routers reports on long prompts and on prefixes that endpoints will
	// hold.
	LoadReports Mechanism = "notes"
	// FailureReports sends other routers reports on failed attempts.
	FailureReports Mechanism = "toldFailures"
	// EnginePrice charges larger models for the engine time that others wait for.
	EnginePrice Mechanism = "enginePrice"
	// Admission lets requests wait for a place, in order, and refuses those that cannot be served in time.
	Admission Mechanism = "admission"
	// EndEstimates asks no larger model whose answer will probably not end before the deadline, and moves
	// streams that will not end where they are.
	EndEstimates Mechanism = "endEstimates"
	// JointSilence finds silent endpoints by the streams of several routers.
	JointSilence Mechanism = "jointSilence"
)

// AllMechanisms holds every Mechanism.
var AllMechanisms = []Mechanism{LargerModels, PrefixHolders, HomeEndpoints, DelayToOthers, ShortFirst, SilenceTimeouts, LoadReports, FailureReports, EnginePrice, Admission, EndEstimates, JointSilence}

// contentionMechanisms holds the mechanisms that are in use only for services with contention.
var contentionMechanisms = []Mechanism{EnginePrice, Admission, EndEstimates, JointSilence}

// enabled reports whether a mechanism of contentionMechanisms is in use for a service. The caller must
// hold the engine's mu.
func (e *Engine) enabled(m Mechanism, service string) bool {
	return e.contended(service) && !e.disabled(m)
}

// contended reports whether callers compete for the endpoints of a service, or its endpoints vary in
// speed: the operator's rules name contention, or endpoints report their pace, as they do where they
// share their VMs with other work. The caller must hold the engine's mu.
func (e *Engine) contended(service string) bool {
	return e.limits.Load().Contention || e.paceReported[service]
}

// disabled reports whether a mechanism is switched off.
func (e *Engine) disabled(m Mechanism) bool {
	return slices.Contains(e.limits.Load().Mechanisms.Without, m)
}
