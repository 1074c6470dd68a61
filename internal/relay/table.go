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

// Kind says how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with server-sent events. They run at most once unless the route
	// has Resume set.
	Stream Kind = "stream"
)

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	Service string
	// Weight is the share, relative to the sum of the route's weights.
	Weight int
}

// Route says which requests it covers, where they go and how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends has at least one service; weights are positive.
	Backends []Backend
	// Timeout is the maximum duration of a request; 0 for no limit.
	Timeout config.Span
	// Aim is the time to the answer, or to the first event of a stream, up to which it earns full
	// credit. EventAim is the longest pause between events up to which it does.
	Aim, EventAim config.Span
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts int
	// Resume says that another run may continue a stream that ended early.
	Resume bool
	// Anonymous says that no API key is required.
	Anonymous bool
	// Affinity says that endpoints keep the shared parts of prompts in memory, so that requests
	// with the same prefix should go to the same endpoint.
	Affinity bool
	// Regions holds the regions in which requests may be served; empty for all.
	Regions []string
	// Sizes holds the models that may serve, the smallest first; empty where the caller names the
	// model.
	Sizes []string
	// Unreadable says that only Host and Prefix are known, as the rest could not be decoded.
	Unreadable bool
}

// repeatable reports whether a request of the route may run more than once.
func (r *Route) repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resume }

// resumable reports whether another run may continue an answer that ended early.
func (r *Route) resumable() bool { return r.Kind == Stream && r.Resume }

// Service says how many requests endpoints of a service get while they warm up after a start.
type Service struct {
	Name string
	// WarmupDuration is how long an endpoint warms up if it does not report that itself.
	WarmupDuration config.Span
	// WarmupRate is how many requests a second an endpoint can take while it warms up; 0 if it can
	// take as many as later.
	WarmupRate float64
	// HealthPath is the path of the endpoints' health check; empty for defaultHealthPath.
	HealthPath string
}

// healthPath returns the path of the health check of a service's endpoints.
func (t *Table) healthPath(service string) string {
	for i := range t.Services {
		if s := &t.Services[i]; s.Name == service && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return defaultHealthPath
}

// Cost is what a model's token costs that is read (Input) or generated (Output), in the same money
// as Limits.TokenWorth.
type Cost struct{ Input, Output float64 }

// Workspace is a customer with API keys.
type Workspace struct {
	Name string
	Keys []string
	// Rank is the priority of the workspace; 0 is the most urgent. One rank of a workspace
	// outweighs several of its routes; see routeRanks.
	Rank int
	// Regions holds the regions in which requests may be served; empty for all.
	Regions []string
}

// Bounds holds limits on what callers may send. Sizes are in bytes.
type Bounds struct {
	MaxHeader, MaxBody int
	// HeaderTimeout is the timeout for reading the header of a request. IdleTimeout is how long a
	// connection may be idle between two requests.
	HeaderTimeout, IdleTimeout config.Span
}

// Table is the configuration in force. Create it with NewTable; it must not be changed once it is
// in force.
type Table struct {
	// Version is the operator's number of the configuration; it only grows.
	Version    int64
	Bounds     Bounds
	Workspaces []Workspace
	// Services says how endpoints of services are treated while they warm up; a service that is
	// missing has no limits then. The caller of NewTable sets it.
	Services []Service
	// Costs holds the cost of tokens by model; that of a model that is missing is unknown.
	Costs map[string]Cost
	// Unreadable names the elements that could not be decoded and are left out; nil if there are none. LacksRoutes and
	// LacksWorkspaces say that routes, or workspaces or keys, are among them. The caller of NewTable sets them.
	Unreadable                   error
	LacksRoutes, LacksWorkspaces bool
	byHost                       map[string][]*Route
	byKey                        map[string]*Workspace
}

// NewTable returns a table, indexed by host and key. It keeps the slices.
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

// Match returns the route of the host with the longest prefix of the path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns a host in lower case and without a port.
func normalizeHost(host string) string {
	host = strings.ToLower(host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// ByKey returns the workspace of an API key; nil if there is none.
func (t *Table) ByKey(key string) *Workspace { return t.byKey[key] }

// RequiresKey reports whether callers need API keys, except on anonymous routes.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 || t.LacksWorkspaces }

// drawBackend returns the service of the route that a uniformly distributed number selects.
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
