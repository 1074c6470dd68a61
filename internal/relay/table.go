// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/traildrift/traildrift/pkg/config"
)

// Kind says what may be repeated.
type Kind string

// The kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by events; they run at most once unless
	// their route lets streams be resumed.
	Stream Kind = "stream"
)

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string
	// Weight is its share of the sum of the route's weights.
	Weight int
}

// Route says where requests go and how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends has one or more services; weights are positive.
	Backends []Backend
	// Timeout is how long a request may be held; 0 for no bound.
	Timeout config.Span
	// Aim is the time to the answer, or to a stream's first event, that earns
	// full credit; EventAim the longest pause between events that does.
	Aim, EventAim config.Span
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Resume says that a stream that broke may be continued by another run.
	Resume bool
	// Anonymous says that no API key is asked for.
	Anonymous bool
	// Affinity says that endpoints keep what requests have in common.
	Affinity bool
	// Regions are those in which its requests may be served; empty for all.
	Regions []string
	// Sizes are the models that may serve, smallest first; empty where the
	// caller names the model.
	Sizes []string
}

// repeatable reports whether a request of the route may run again.
func (r *Route) repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resume }

// resumable reports whether a begun answer may be continued.
func (r *Route) resumable() bool { return r.Kind == Stream && r.Resume }

// Service is how the endpoints of a service are spared while they warm up after a start.
type Service struct {
	Name string
	// WarmupDuration is how long that takes where an endpoint does not tell.
	WarmupDuration config.Span
	// WarmupRate is how many requests a second an endpoint bears meanwhile; 0 if it
	// bears as many as ever.
	WarmupRate float64
}

// Cost is what a token costs that a model reads or makes, in the money of the callers' worth.
type Cost struct{ Input, Output float64 }

// Workspace is a customer with API keys.
type Workspace struct {
	Name string
	Keys []string
	// Rank orders workspaces by urgency before their routes; 0 is the most
	// urgent.
	Rank int
	// Regions are those in which its requests may be served; empty for all.
	Regions []string
}

// Bounds limit what callers may send.
type Bounds struct {
	MaxHeader, MaxBody int
	// HeaderTimeout bounds the reading of a head, IdleTimeout the rest between
	// two requests on one connection.
	HeaderTimeout, IdleTimeout config.Span
}

// Table is the configuration in force. It is not changed once it is built; use
// NewTable.
type Table struct {
	// Version is the operator's; it only grows.
	Version    int64
	Bounds     Bounds
	Workspaces []Workspace
	// Services says how the endpoints of services are spared after a start; one that is
	// missing is not. It is set before the table is in force.
	Services []Service
	// Costs holds what a model's tokens cost, by its name; one that is missing costs
	// nothing that is known.
	Costs  map[string]Cost
	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// NewTable indexes a configuration, whose slices it keeps.
func NewTable(version int64, b Bounds, routes []Route, workspaces []Workspace) *Table {
	t := &Table{Version: version, Bounds: b, Workspaces: workspaces, Costs: make(map[string]Cost), byHost: make(map[string][]*Route), byKey: make(map[string]*Workspace)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			t.byKey[key] = &workspaces[i]
		}
	}
	return t
}

// Match returns the route of a host and path: the one with the longest prefix of
// the path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns a host as routes are found by it: in lower case, without a port.
func normalizeHost(host string) string {
	host = strings.ToLower(host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// ByKey returns the workspace of an API key; nil if there is none.
func (t *Table) ByKey(key string) *Workspace { return t.byKey[key] }

// RequiresKey reports whether callers need API keys at all.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 }

// drawBackend draws a service of the route; draw is uniform.
func (r *Route) drawBackend(draw uint64) string {
	sum := 0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	if sum <= 0 {
		return r.Backends[0].Service
	}
	n := int(draw % uint64(sum))
	for _, b := range r.Backends {
		if n -= b.Weight; n < 0 {
			return b.Service
		}
	}
	return r.Backends[0].Service
}
