// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// Limits holds the operator's settings for this VM.
type Limits struct {
	// Zone is the availability zone of this VM.
	Zone string
	// Regions maps availability zones to regions, as far as they are known.
	Regions map[string]string
	// RetryRatio and RetrySlack limit the extra attempts of a service within RetryWindow, for all
	// routers together: a fraction of its requests, and a number on top of that.
	RetryRatio, RetrySlack float64
	RetryWindow            config.Span
	// RevokeWithin is how long after its removal an API key may still be served; 0 for no limit.
	RevokeWithin config.Span
	// ConfigWithin is the time after its acceptance within which a configuration must be in force.
	// What is missing in a table that was confirmed to be the newest less long ago does not exist.
	ConfigWithin config.Span
	// ExposeShare and ExposeSlack limit the requests to a version that may be bad: a fraction of
	// all requests to its service, and a number on top of that.
	ExposeShare, ExposeSlack float64
	// WarmOverage and WarmSlack limit the requests from all routers to an endpoint that warms up,
	// in any one second: a multiple of its WarmupRate, and a number on top of that.
	WarmOverage, WarmSlack float64
	// TokenWorth is what 1,000 tokens of a prompt earn, in the money of Table.Costs. A token of the
	// answer counts as ten.
	TokenWorth float64
	// Cascade holds the confidence thresholds that CascadeFixed uses to choose among models of
	// several sizes, and CascadeWorth until it knows what larger models cost and gain.
	Cascade sizes.Policy
	// Contention says that the operator's rules name contention for endpoints, so that the mechanisms
	// for it are in use for all services.
	Contention bool
	// Mechanisms selects the ways in which the router decides.
	Mechanisms Mechanisms
}

const (
	// retryRatioShare and retrySlackShare are the fractions of RetryRatio and RetrySlack that the
	// routers use together. The rest is a margin for requests that are counted in another window
	// and for routers that are not registered yet.
	retryRatioShare = 0.85
	retrySlackShare = 0.6
	// revokeMargin is how much earlier than RevokeWithin an API key is refused: an attempt takes up
	// to half a second to reach its endpoint.
	revokeMargin = 500 * time.Millisecond
	// readyMargin is how long before keys are refused the router reports that it is not ready, so
	// that callers connect elsewhere in time.
	readyMargin = time.Second
)

// SetLimits replaces the settings.
func (e *Engine) SetLimits(l Limits) {
	e.limits.Store(&l)
	e.setWarmups()
}
