// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"net/http"
	"time"

	"github.com/traildrift/traildrift/internal/follow"
	"github.com/traildrift/traildrift/internal/relay"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
)

// Wire is what is spoken on a platform, decoded. Its functions are seams.
type Wire struct {
	// Source reads the store, WriteTrial stores a step of a roll-out.
	Source     follow.Source
	WriteTrial func(ctx context.Context, t roll.Trial) error
	// ConfigKind, EndpointKind and TrialKind are the kinds to follow.
	ConfigKind, EndpointKind, TrialKind string
	// Table decodes the configuration; it returns nil for an object that is
	// not one.
	Table func(o follow.Object) (*relay.Table, error)
	// Endpoint decodes an endpoint.
	Endpoint func(o follow.Object) (pool.Entry, error)
	// Trial decodes a roll-out; its times lie around now.
	Trial func(o follow.Object, now time.Time) (roll.Trial, error)
	// Request decodes a caller's request, whose body was read.
	Request func(r *http.Request, body []byte, now time.Time) *relay.Request
	// Send makes an attempt.
	Send relay.Send
	// ReadyPath is where the balancer asks.
	ReadyPath string
}
