// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Want is what a request asks of an endpoint.
type Want struct {
	Service string
	// Fit reports whether a version of the endpoints' software may serve the
	// request; nil allows all.
	Fit func(version string) bool
	// One says that the request goes to the first of the endpoints that fit, in the
	// order of their hashes, as long as it is trusted.
	One bool
	// one is its hash; 0 for all.
	one uint64
	// Zone is where the asking process runs.
	Zone string
	// Avoid holds the IDs that were tried already.
	Avoid []string
	// Affinity names what an endpoint may still hold in memory; 0 for nothing.
	Affinity uint64
	// Bonus is what a held prefix saves, in seconds; see HeldValue.
	Bonus float64
	// Home is the part of the endpoints, in the order of their hashes, that
	// requests of this sort go to first; the zero value is all of them.
	Home Range
	// Once says that the request is lost if its attempt fails, so that it tests
	// no endpoint.
	Once bool
	// Draw is a random number.
	Draw uint64
	// Passed is set by Pick: the endpoint that most likely holds the prefix, where
	// it cost too much; nil otherwise.
	Passed *Endpoint
}

// HeldValue is what a token of a shared part in memory is worth beyond the time to
// read it, in seconds of waiting: reading it again is priced. Of 0, 30 and 100 ms
// a thousand tokens, the last gave the best mean worth on the users' first two sites.
const HeldValue = 0.1 / 1000

// Range is a part of a list, from 0 to 1.
type Range struct{ From, To float64 }

// of returns the entries of a list that a range touches, at least one.
func (r Range) of(list []*Endpoint) []*Endpoint {
	if r.To <= r.From || len(list) == 0 {
		return list
	}
	n := float64(len(list))
	// A thousandth of an entry at either end is rounding, not a share.
	from := min(int(r.From*n+0.001), len(list)-1)
	to := max(int(math.Ceil(r.To*n-0.001)), from+1)
	return list[from:min(to, len(list))]
}

// Reason says why an endpoint was picked.
type Reason string

// The reasons.
const (
	ByAffinity Reason = "holdsPrefix"
	ByLoad     Reason = "leastOfTwo"
	ByHome     Reason = "leastOfHome"
	ByDespair  Reason = "noneTrusted"
)

const (
	// overload is how far the load of an endpoint that may hold a prefix may
	// be over the mean before another is taken, in shares of its slots.
	overload = 0.15
	// farZone is what another availability zone counts, in shares of the slots.
	farZone = 0.06
)

// Pick returns an endpoint for a request, and why; nil if there is none.
func (b *Book) Pick(now time.Time, w *Want) (*Endpoint, Reason) {
	w.Passed = nil
	var buf, homeBuf [scanMost]*Endpoint
	list := b.byService[w.Service]
	w.one = w.first(list, now)
	open, trust := trusted(buf[:0], list, now, w)
	if w.one > 0 && trust == nil {
		w.one = 0
		open, trust = trusted(buf[:0], list, now, w)
	}
	switch {
	case len(open) == 0:
		return nil, ""
	case trust == nil:
		return two(open, now, w), ByDespair
	}
	home := w.homeOf(homeBuf[:0], list, open, now, trust)
	// The mean of all says how much more than elsewhere an endpoint has.
	limit := meanCost(open, now, w.Zone) + overload
	best := least(home, now, w)
	if w.Affinity != 0 {
		p, passed := holder(open, now, w, min(limit, best.cost(now, w.Zone))+w.Bonus)
		if p != nil {
			return p, ByAffinity
		}
		w.Passed = passed
	}
	if w.apart(list, home, open) && best.cost(now, w.Zone) <= limit {
		return best, ByHome
	}
	return two(open, now, w), ByLoad
}

// first returns the hash of the endpoint that One asks for; 0 for none.
func (w *Want) first(list []*Endpoint, now time.Time) uint64 {
	if !w.One {
		return 0
	}
	for _, p := range list {
		if p.allowed(now, w) {
			return p.hash
		}
	}
	return 0
}

// trusted appends the endpoints of a list that may serve a request and are trusted
// with it, as far as there are any, and returns the test that they passed; nil for
// none.
func trusted(dst, list []*Endpoint, now time.Time, w *Want) ([]*Endpoint, trustTest) {
	tests := []trustTest{(*Endpoint).sound, (*Endpoint).open, nil}
	if !w.Once {
		tests = tests[1:]
	}
	for _, test := range tests {
		if open := fitting(dst, list, now, w, test); len(open) > 0 {
			return open, test
		}
	}
	return nil, nil
}

// trustTest reports whether an endpoint is trusted with a request.
type trustTest func(p *Endpoint, now time.Time) bool

// homeOf returns the endpoints that requests of this sort go to first, out of all
// of a service and those of them that are open; it never returns none.
func (w *Want) homeOf(dst, list, open []*Endpoint, now time.Time, test trustTest) []*Endpoint {
	if len(list) <= scanMost {
		return w.Home.of(open)
	}
	at := Want{Fit: w.Fit, Avoid: w.Avoid, Draw: w.Draw}
	if home := fitting(dst, w.Home.of(list), now, &at, test); len(home) > 0 {
		return home
	}
	return open
}

// apart reports whether the home is a part of what is open.
func (w *Want) apart(list, home, open []*Endpoint) bool {
	if len(list) > scanMost {
		return w.Home.To > w.Home.From
	}
	return len(home) < len(open)
}

func meanCost(list []*Endpoint, now time.Time, zone string) float64 {
	sum := 0.0
	for _, p := range list {
		sum += p.cost(now, zone)
	}
	return sum / float64(len(list))
}

// least returns the endpoint of the least cost; the search begins at random, so
// that equal ones share the load.
func least(list []*Endpoint, now time.Time, w *Want) *Endpoint {
	begin := int(mixer.Mix(w.Draw) % uint64(len(list)))
	best, cost := list[begin], list[begin].cost(now, w.Zone)
	for i := 1; i < len(list); i++ {
		p := list[(begin+i)%len(list)]
		if c := p.cost(now, w.Zone); c < cost {
			best, cost = p, c
		}
	}
	return best
}

// Any reports whether a service has an endpoint that may get new work.
func (b *Book) Any(now time.Time, w *Want) bool {
	return slices.ContainsFunc(b.byService[w.Service], func(p *Endpoint) bool { return p.fits(now, w) })
}

// scanMost is how many endpoints of a service are looked at for one request. Where
// there are more, they are taken from one part of the ring of their hashes: the same
// part at every process for requests with the same affinity, any part for the others.
// Looking at all 3,000 of a sweep took 367 us; of 64 and 256, the latter served better.
const scanMost = 256

// fitting appends the endpoints of a list that may serve a request and that pass a
// test of trust; nil lets all pass.
func fitting(dst, list []*Endpoint, now time.Time, w *Want, test trustTest) []*Endpoint {
	from := 0
	if len(list) > scanMost {
		from = w.position(list)
	}
	for i := range list {
		p := list[(from+i)%len(list)]
		if len(dst) >= scanMost {
			break
		}
		if p.fits(now, w) && (test == nil || test(p, now)) {
			dst = append(dst, p)
		}
	}
	return dst
}

// fits reports whether an endpoint may serve a request, trusted or not.
func (p *Endpoint) fits(now time.Time, w *Want) bool {
	return (w.one == 0 || p.hash == w.one) && p.allowed(now, w) && !slices.Contains(w.Avoid, p.ID)
}

// allowed reports whether an endpoint takes new work and has a version that may serve.
func (p *Endpoint) allowed(now time.Time, w *Want) bool {
	return p.usable(now) && (w.Fit == nil || w.Fit(p.Version))
}

// position returns where on the ring of a service's endpoints a request looks.
func (w *Want) position(list []*Endpoint) int {
	if w.Affinity == 0 {
		return int(mixer.Mix(w.Draw) % uint64(len(list)))
	}
	i, _ := slices.BinarySearchFunc(list, mixer.Mix(w.Affinity), func(p *Endpoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return i
}

func (p *Endpoint) open(now time.Time) bool  { return p.Trust.open(now, p.Load.Sent) }
func (p *Endpoint) sound(now time.Time) bool { return p.Trust.sound(now) }

// share returns the load of an endpoint in shares of its slots.
func (p *Endpoint) share(now time.Time) float64 {
	return float64(p.Load.Runs(now)) / float64(max(p.Slots, 1))
}

// holder returns the endpoint that most likely holds the prefix, by rendezvous
// hash, if its cost is within the limit; else the second one, or nil with the first.
func holder(list []*Endpoint, now time.Time, w *Want, limit float64) (p, first *Endpoint) {
	var second *Endpoint
	var most, next uint64
	for _, p := range list {
		h := mixer.Mix(w.Affinity ^ p.hash)
		switch {
		case first == nil || h > most:
			second, next = first, most
			first, most = p, h
		case second == nil || h > next:
			second, next = p, h
		}
	}
	if first.cost(now, w.Zone) <= limit {
		return first, first
	}
	if second != nil && second.cost(now, w.Zone) <= limit {
		return second, first
	}
	return nil, first
}

// two returns the less loaded of two endpoints drawn at random.
func two(open []*Endpoint, now time.Time, w *Want) *Endpoint {
	d := mixer.Mix(w.Draw)
	a := open[d%uint64(len(open))]
	d = mixer.Mix(d)
	b := open[d%uint64(len(open))]
	if b.cost(now, w.Zone) < a.cost(now, w.Zone) {
		return b
	}
	return a
}

// Cost says how bad an endpoint is for a request from an availability zone.
func (p *Endpoint) Cost(now time.Time, zone string) float64 { return p.cost(now, zone) }

// cost says how bad an endpoint is for a request: its load in shares of its
// slots, a second of expected wait counting as much as all of them.
func (p *Endpoint) cost(now time.Time, zone string) float64 {
	c := p.share(now) + p.Load.Wait(now)
	if p.Zone != zone {
		c += farZone
	}
	return c
}

// Hash returns the same number for a text in every process.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }
