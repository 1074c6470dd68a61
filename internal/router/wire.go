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

// Wire is what is spoken on a platform, decoded. Its functions are seams.
type Wire struct {
	// Source reads the store, WriteTrial stores a step of a roll-out.
	Source     mirror.Source
	WriteTrial func(ctx context.Context, t roll.Trial) error
	// ConfigKind, EndpointKind, TrialKind, ClosingKind, VerdictKind and RouterKind are the
	// kinds to follow. An object of ClosingKind closes the availability zone of its name;
	// one of VerdictKind quarantines the request whose print is its name.
	ConfigKind, EndpointKind, TrialKind, ClosingKind, VerdictKind, RouterKind string
	// Register stores the registration of a router and returns the one that stands, which
	// may be of an earlier life of its VM.
	Register func(ctx context.Context, p peers.Peer) (peers.Peer, error)
	// Unregister removes a registration unless it was renewed since.
	Unregister func(ctx context.Context, p peers.Peer) error
	// Neighbours returns some registered routers, those around a name.
	Neighbours func(ctx context.Context, name string) ([]peers.Peer, error)
	// Peer decodes a registration.
	Peer func(o mirror.Object) (peers.Peer, error)
	// Table decodes the configuration; it returns nil for an object that is
	// not one.
	Table func(o mirror.Object) (*relay.Table, error)
	// Endpoint decodes an endpoint, word of which came at now.
	Endpoint func(o mirror.Object, now time.Time) (pool.Entry, error)
	// Trial decodes a roll-out; its times lie around now.
	Trial func(o mirror.Object, now time.Time) (roll.Trial, error)
	// Verdict decodes a quarantine; its times lie around now. WriteVerdict stores one and
	// returns the one that stands, which may be of a later round; RemoveVerdict removes it.
	Verdict       func(o mirror.Object, now time.Time) (poison.Verdict, error)
	WriteVerdict  func(ctx context.Context, v poison.Verdict, now time.Time) (poison.Verdict, error)
	RemoveVerdict func(ctx context.Context, p poison.Fingerprint) error
	// Request decodes a caller's request, whose body was read.
	Request func(r *http.Request, body []byte, now time.Time) *relay.Request
	// Send makes an attempt.
	Send relay.Send
	// Gone reports whether an endpoint has ended.
	Gone relay.CheckEnded
	// Duties is what is spoken of the duties of one VM at a time.
	Duties DutyWire
	// ReadyPath is where the balancer asks.
	ReadyPath string
	// OnStoreCall sets what is called for each call to the store that has ended.
	OnStoreCall func(fn func(StoreCall))
}

// StoreCall is a call to the store that has ended.
type StoreCall struct {
	Verb StoreVerb
	// Kind is the kind of the objects.
	Kind string
	// Status is that of the answer; 0 for none.
	Status      int
	Sent, Ended time.Time
}

// StoreVerb is what a call to the store does.
type StoreVerb string

// The calls. A list takes one call for each page.
const (
	StoreList    StoreVerb = "list"
	StoreRead    StoreVerb = "read"
	StoreWatch   StoreVerb = "watch"
	StoreCreate  StoreVerb = "create"
	StoreReplace StoreVerb = "replace"
	StoreRemove  StoreVerb = "remove"
	// DutyReport is no call to the store, but priced and told of like one.
	DutyReport StoreVerb = "report"
)
