// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Want describes a request for which Book.Pick selects an endpoint. The caller fills it in; Pick sets
// PassedOver.
type Want struct {
	Service string
	// Fit reports whether a version of the endpoints' software may serve the request; nil allows all.
	Fit func(version string) bool
	// Zones reports whether the request may be served in an availability zone; nil allows all.
	Zones func(zone string) bool
	// FirstOnly restricts the request to the first endpoint, in the order of their hashes, that may
	// serve it and is trusted.
	FirstOnly bool
	// firstHash is the hash of that endpoint; 0 for no restriction.
	firstHash uint64
	// Zone is the availability zone of this process.
	Zone string
	// Avoid holds the IDs of endpoints that are not to be picked, such as those already tried.
	Avoid []string
	// Affinity is the hash of the prompt prefix that an endpoint may hold in memory; 0 for none.
	Affinity uint64
	// FullRead is the time that endpoints take to read the whole prompt, UnsharedRead that for the part
	// that no other request shares, both in seconds; SharedFraction is the shared part of the prompt, 0
	// to 1.
	FullRead, UnsharedRead, SharedFraction float64
	// TimeLeft is the time until the head of the answer is late, in seconds.
	TimeLeft float64
	// Aim is the target time to the head of the answer, in seconds; 0 for none.
	Aim float64
	// OthersWorth is what another request to the service earns on average, as a multiple of what this
	// one earns.
	OthersWorth float64
	// PromptRate is the number of prompts that an endpoint of the service gets per second.
	PromptRate float64
	// Urgent says that endpoints read this prompt before those that are not urgent: it waits for the
	// fraction AheadFraction, 0 to 1, of the prompts that an endpoint has.
	Urgent        bool
	AheadFraction float64
	// StreamTime is the time that a run continues after the head of its answer, in seconds.
	StreamTime float64
	// HomeChance is the probability, 0 to 1, that the home of a prefix holds it though no holder is
	// recorded.
	HomeChance float64
	// IgnoreHolders disables the preference for endpoints that hold the prefix.
	IgnoreHolders bool
	// SampleSize is the number of endpoints that are drawn at random in addition to holders and homes.
	SampleSize int
	// OnlyOpen restricts the request to endpoints that are not known to be full and are not in Reserved.
	// Only restricts it to the endpoints with these hashes; empty for all.
	OnlyOpen       bool
	Only, Reserved []uint64
	// NoRetry says that the request is lost if its attempt fails, so that it goes to healthy endpoints
	// only, as far as there are any.
	NoRetry bool
	// Draw is a random number.
	Draw uint64
	// PassedOver is set by Pick: the best holder of the prefix if another endpoint has a smaller loss;
	// nil otherwise.
	PassedOver *Endpoint
}

// Reason is why an endpoint was picked.
type Reason string

// The reasons: the endpoint is a recorded holder of the prefix; its home among all endpoints; its home
// in this process's availability zone; the best of a random sample; or no endpoint is trusted.
const (
	ByAffinity    Reason = "holdsPrefix"
	ByHome        Reason = "prefixBelongs"
	ByZone        Reason = "ownZone"
	ByLoad        Reason = "leastOfSome"
	ByNoneTrusted Reason = "noneTrusted"
)

// crossZoneCost is the cost of another availability zone for requests without a prefix, in fractions of
// the slots: the round trip takes a few hundredths of their aims.
const crossZoneCost = 0.06

// Pick returns an endpoint for a request, and why; nil if there is none.
func (b *Book) Pick(now time.Time, w *Want) (*Endpoint, Reason) {
	w.PassedOver = nil
	var buf [maxScan]*Endpoint
	list := b.byService[w.Service]
	w.firstHash = w.firstTrusted(list, now)
	eligible, trust := trusted(buf[:0], list, now, w)
	if w.firstHash > 0 && trust == nil {
		w.firstHash = 0
		eligible, trust = trusted(buf[:0], list, now, w)
	}
	switch {
	case len(eligible) == 0:
		return nil, ""
	case trust == nil:
		return pickOfTwo(eligible, now, w), ByNoneTrusted
	case w.Affinity == 0:
		return pickOfTwo(eligible, now, w), ByLoad
	default:
		return b.pickForPrefix(eligible, now, w, trust)
	}
}

// firstTrusted returns the hash of the endpoint to which FirstOnly restricts the request; 0 for none.
func (w *Want) firstTrusted(list []*Endpoint, now time.Time) uint64 {
	if !w.FirstOnly {
		return 0
	}
	for _, p := range list {
		if p.allowed(now, w) && p.ready(now) && p.mayTry(now) {
			return p.hash
		}
	}
	return 0
}

// PickedFirst reports whether FirstOnly restricted the last Pick to one endpoint; it is false where none
// was trusted.
func (w *Want) PickedFirst() bool { return w.firstHash != 0 }

// trusted appends to dst the endpoints of a list that may serve a request and pass the strictest test of
// trust that any of them passes. It returns them with that test; nil if no test was passed.
func trusted(dst, list []*Endpoint, now time.Time, w *Want) ([]*Endpoint, trustTest) {
	tests := []trustTest{(*Endpoint).healthy, (*Endpoint).settled, (*Endpoint).mayTry, nil}
	switch {
	case !w.NoRetry:
		tests = tests[2:]
	case !w.OnlyOpen:
		// Full endpoints are picked as well, so that there is a healthy one as long as any is.
		tests[1] = (*Endpoint).mayTry
	}
	for _, test := range tests {
		if eligible := fitting(dst, list, now, w, test); len(eligible) > 0 {
			return eligible, test
		}
	}
	return nil, nil
}

// trustTest reports whether an endpoint is trusted with a request.
type trustTest func(p *Endpoint, now time.Time) bool

// Any reports whether a service has an endpoint that may serve a request now, trusted or not.
func (b *Book) Any(now time.Time, w *Want) bool {
	return slices.ContainsFunc(b.byService[w.Service], func(p *Endpoint) bool { return p.fits(now, w) })
}

// maxScan is how many endpoints of a service Pick considers for one request. Of a larger service, it
// takes them from one arc of the ring of their hashes: the same arc in every process for requests with
// the same affinity, a random one for others. Scanning all of 3,000 endpoints took 367 us; a scan of 256
// served requests better than one of 64.
const maxScan = 256

// fitting appends to dst the endpoints of a list that may serve a request now and pass a test of trust;
// nil passes all.
func fitting(dst, list []*Endpoint, now time.Time, w *Want, test trustTest) []*Endpoint {
	from := 0
	if len(list) > maxScan {
		from = w.ringStart(list)
	}
	for i := range list {
		p := list[(from+i)%len(list)]
		if len(dst) >= maxScan {
			break
		}
		if p.fits(now, w) && (test == nil || test(p, now)) {
			dst = append(dst, p)
		}
	}
	return dst
}

// fits reports whether an endpoint may serve a request now, trusted or not.
func (p *Endpoint) fits(now time.Time, w *Want) bool {
	return (w.firstHash == 0 || p.hash == w.firstHash) && p.allowed(now, w) && p.ready(now) && p.offered(now, w) && !slices.Contains(w.Avoid, p.ID)
}

// allowed reports whether an endpoint may get new work and has a version and a zone that may serve the request.
func (p *Endpoint) allowed(now time.Time, w *Want) bool {
	return p.usable(now) && (w.Fit == nil || w.Fit(p.Version)) && (w.Zones == nil || w.Zones(p.Zone))
}

// ringStart returns the index in a service's ring of endpoints at which the scan for a request starts.
func (w *Want) ringStart(list []*Endpoint) int {
	if w.Affinity == 0 {
		return int(mixer.Mix(w.Draw) % uint64(len(list)))
	}
	i, _ := slices.BinarySearchFunc(list, mixer.Mix(w.Affinity), func(p *Endpoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return i
}

func (p *Endpoint) mayTry(now time.Time) bool  { return p.Trust.mayTry(now, p.Load.InFlight) }
func (p *Endpoint) settled(now time.Time) bool { return p.Trust.settled(now) }
func (p *Endpoint) healthy(now time.Time) bool { return p.Trust.healthy(now) }

// utilization returns the runs of an endpoint in fractions of its slots.
func (p *Endpoint) utilization(now time.Time) float64 {
	return float64(p.Load.Runs(now)) / float64(max(p.Slots, 1))
}

// pickOfTwo returns the less loaded of two endpoints drawn at random.
func pickOfTwo(eligible []*Endpoint, now time.Time, w *Want) *Endpoint {
	d := mixer.Mix(w.Draw)
	a := eligible[d%uint64(len(eligible))]
	d = mixer.Mix(d)
	b := eligible[d%uint64(len(eligible))]
	if b.cost(now, w.Zone) < a.cost(now, w.Zone) {
		return b
	}
	return a
}

// cost returns the cost of sending a request without a prefix to an endpoint: its load with the request
// in fractions of its slots, times its pace, plus the expected wait, one second of which counts as much
// as all slots.
func (p *Endpoint) cost(now time.Time, zone string) float64 {
	c := p.Pace.Factor(now)*(p.utilization(now)+1/float64(max(p.Slots, 1))) + p.Load.Wait(now)
	if p.Zone != zone {
		c += crossZoneCost
	}
	return c
}

// Hash returns the hash of a string, the same in every process.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }
