// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// Limits are the operator's bounds on what the router does.
type Limits struct {
	// Zone is the availability zone of this VM.
	Zone string
	// Regions holds the region of each availability zone, as far as it is known.
	Regions map[string]string
	// RetryRatio and RetrySlack bound the extra attempts of a service over
	// RetryWindow, for all routers together.
	RetryRatio, RetrySlack float64
	RetryWindow            config.Span
	// RevokeWithin is how long after its removal a key may still be served; 0
	// if that is not bounded.
	RevokeWithin config.Span
	// ConfigWithin is how long after its acceptance a configuration has to be
	// in force: what is missing in a table that was the newest less long ago
	// does not exist.
	ConfigWithin config.Span
	// ExposeShare and ExposeSlack bound the requests to a version that may be bad:
	// a part of all requests to its service, and some more.
	ExposeShare, ExposeSlack float64
	// WarmOverage and WarmSlack bound the requests in any one second to an endpoint that
	// warms up, by all routers together: so many times what it bears, and some more.
	WarmOverage, WarmSlack float64
	// TokenWorth is what 1,000 tokens of a prompt earn, in the money of the models' costs; a
	// token made counts as ten.
	TokenWorth float64
	// Cascade chooses among models of several sizes.
	Cascade sizes.Policy
	// Mechanisms are the ways in which the router decides.
	Mechanisms Mechanisms
}

const (
	// retryRatioShare and slackKept are the parts of the users' retry budget that the
	// routers take together, with a margin for requests that are counted in
	// another window and for routers that are not registered yet.
	retryRatioShare = 0.85
	retrySlackShare = 0.6
	// revokeMargin is how much earlier than the bound a key is no longer
	// served: an attempt takes up to half a second to reach its endpoint.
	revokeMargin = 500 * time.Millisecond
	// readyMargin is how long before keys are refused a router says that it
	// takes no new connections, so that callers go elsewhere in time.
	readyMargin = time.Second
)

// SetLimits takes over new bounds.
func (e *Engine) SetLimits(l Limits) {
	e.limits.Store(&l)
	e.setWarmups()
}
