// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"net/http"
	"time"

	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/internal/peers"
	"github.com/traildrift/traildrift/internal/relay"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/roll"
)

// Wire implements the protocols of a platform: it encodes and decodes objects and requests, and makes
// the calls. The platform package sets its fields; tests replace its functions.
type Wire struct {
	// Source reads the store, and WriteTrial stores a step of a roll-out.
	Source     mirror.Source
	WriteTrial func(ctx context.Context, t roll.Trial) error
	// ConfigKind, EndpointKind, TrialKind, ClosingKind, VerdictKind and RouterKind are the kinds of
	// stored objects to follow. An object of ClosingKind closes the availability zone that it is
	// named after. An object of VerdictKind quarantines the request whose fingerprint is its name.
	ConfigKind, EndpointKind, TrialKind, ClosingKind, VerdictKind, RouterKind string
	// Register stores the registration of a router and returns the stored one, which may be that of
	// an earlier process of the VM.
	Register func(ctx context.Context, p peers.Peer) (peers.Peer, error)
	// Unregister removes a registration unless it was renewed since its Revision; revision 0 removes
	// it in any case. The error is store.ErrNotFound if there is none.
	Unregister func(ctx context.Context, p peers.Peer) error
	// Neighbours returns some of the registered routers, those whose names are next to name.
	Neighbours func(ctx context.Context, name string) ([]peers.Peer, error)
	// Peer decodes a registration.
	Peer func(o mirror.Object) (peers.Peer, error)
	// Table decodes the configuration. It returns nil for an object that is not a configuration.
	Table func(o mirror.Object) (*relay.Table, error)
	// Endpoint decodes an endpoint whose object was received at now.
	Endpoint func(o mirror.Object, now time.Time) (pool.Entry, error)
	// Trial decodes a roll-out, whose stored times are converted to times relative to now.
	Trial func(o mirror.Object, now time.Time) (roll.Trial, error)
	// Verdict decodes a quarantine, whose stored times are converted to times relative to now.
	// WriteVerdict stores one and returns the stored one, which may be of a later round.
	// RemoveVerdict removes one; the error is store.ErrNotFound if there is none.
	Verdict       func(o mirror.Object, now time.Time) (poison.Verdict, error)
	WriteVerdict  func(ctx context.Context, v poison.Verdict, now time.Time) (poison.Verdict, error)
	RemoveVerdict func(ctx context.Context, p poison.Fingerprint) error
	// Request decodes the head of a caller's request.
	Request func(r *http.Request, now time.Time) *relay.Request
	// WallClock returns the time of day, which may be stepped.
	WallClock func() time.Time
	// Send makes an attempt at an endpoint.
	Send relay.Send
	// Gone reports whether the process of an endpoint has ended.
	Gone relay.CheckEnded
	// Alive checks whether the process of an endpoint is alive.
	Alive relay.CheckAlive
	// OpenProbe opens a connection that tells one process of an endpoint from the next.
	OpenProbe relay.OpenProbe
	// Duties makes the calls for the duties that one VM at a time performs.
	Duties DutyWire
	// ContentionRule is the name in Settings.Rules that says that callers compete for endpoints; empty
	// if the platform has none.
	ContentionRule string
	// ReadyPath is the URL path of the balancer's readiness check.
	ReadyPath string
	// ObserveEpoch is called when a later epoch of the store was observed, also by another router: writes under
	// the condition of a revision of an earlier one are not sent any more. It must be short.
	ObserveEpoch func(e int64)
	// OnStoreCall sets the function that is called after each call to the store. It must be called
	// before the first call to the store.
	OnStoreCall func(fn func(StoreCall))
	// OnUnreadable sets the function that is called for each element of a list of the store that could not be decoded
	// and does not reach the mirror. It must be called before the first call.
	OnUnreadable func(fn func(Unreadable))
}

// StoreCall describes a call to the store that has ended.
type StoreCall struct {
	Verb StoreVerb
	// Kind is the kind of the requested objects.
	Kind string
	// Status is the HTTP status of the response; 0 if there was none.
	Status int
	// Epoch is the number of times that the store had come back from an older copy, as the response
	// names it.
	Epoch       int64
	Sent, Ended time.Time
}

// StoreVerb is the operation of a call to the store.
type StoreVerb string

// The operations. A list takes one call for each page.
const (
	StoreList    StoreVerb = "list"
	StoreRead    StoreVerb = "read"
	StoreWatch   StoreVerb = "watch"
	StoreCreate  StoreVerb = "create"
	StoreReplace StoreVerb = "replace"
	StoreRemove  StoreVerb = "remove"
	// DutyReport is not a call to the store, but costs money and is logged like one.
	DutyReport StoreVerb = "report"
)
