// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Want is what a request asks of an endpoint.
type Want struct {
	Service string
	// Fit reports whether a version of the endpoints' software may serve the
	// request; nil allows all.
	Fit func(version string) bool
	// Zone is where the asking process runs.
	Zone string
	// Avoid holds the IDs that were tried already.
	Avoid []string
	// Affinity names what an endpoint may still hold in memory; 0 for nothing.
	Affinity uint64
	// Draw is a random number.
	Draw uint64
}

// Reason says why an endpoint was picked.
type Reason string

// The reasons.
const (
	ByAffinity Reason = "holdsPrefix"
	ByLoad     Reason = "leastOfTwo"
	ByDespair  Reason = "noneTrusted"
)

const (
	// overload is how far the load of an endpoint that may hold a prefix may
	// be over the mean before another is taken, in shares of its slots.
	overload = 0.15
	// farZone is what another availability zone counts, in shares of the slots.
	farZone = 0.02
)

// Pick returns an endpoint for a request, and why; nil if there is none.
func (b *Book) Pick(now time.Time, w *Want) (*Endpoint, Reason) {
	var buf [64]*Endpoint
	open := b.fitting(buf[:0], now, w, true)
	if len(open) == 0 {
		open = b.fitting(open, now, w, false)
		if len(open) == 0 {
			return nil, ""
		}
		return two(open, now, w), ByDespair
	}
	if w.Affinity != 0 {
		if p := holder(open, now, w); p != nil {
			return p, ByAffinity
		}
	}
	return two(open, now, w), ByLoad
}

// Any reports whether a service has an endpoint that may get new work.
func (b *Book) Any(now time.Time, w *Want) bool {
	var buf [64]*Endpoint
	return len(b.fitting(buf[:0], now, w, false)) > 0
}

func (b *Book) fitting(dst []*Endpoint, now time.Time, w *Want, trusted bool) []*Endpoint {
	for _, p := range b.byService[w.Service] {
		if !p.usable(now) || w.Fit != nil && !w.Fit(p.Version) || slices.Contains(w.Avoid, p.ID) {
			continue
		}
		if trusted && !p.Trust.open(now, p.Load.Sent) {
			continue
		}
		dst = append(dst, p)
	}
	return dst
}

// share returns the load of an endpoint in shares of its slots.
func (p *Endpoint) share(now time.Time) float64 {
	return float64(p.Load.Runs(now)) / float64(max(p.Slots, 1))
}

// holder returns the endpoint that most likely holds the prefix, by rendezvous
// hash, unless it is far more loaded than the mean; then the second one.
func holder(open []*Endpoint, now time.Time, w *Want) *Endpoint {
	mean := 0.0
	var first, second *Endpoint
	var most, next uint64
	for _, p := range open {
		mean += p.share(now)
		h := mix(w.Affinity ^ Hash(p.ID))
		switch {
		case first == nil || h > most:
			second, next = first, most
			first, most = p, h
		case second == nil || h > next:
			second, next = p, h
		}
	}
	limit := mean/float64(len(open)) + overload
	if first.share(now) <= limit {
		return first
	}
	if second != nil && second.share(now) <= limit {
		return second
	}
	return nil
}

// two returns the less loaded of two endpoints drawn at random.
func two(open []*Endpoint, now time.Time, w *Want) *Endpoint {
	d := mix(w.Draw)
	a := open[d%uint64(len(open))]
	d = mix(d)
	b := open[d%uint64(len(open))]
	if b.cost(now, w.Zone) < a.cost(now, w.Zone) {
		return b
	}
	return a
}

func (p *Endpoint) cost(now time.Time, zone string) float64 {
	c := p.share(now)
	if p.Zone != zone {
		c += farZone
	}
	return c
}

// Hash returns the same number for a text in every process.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
