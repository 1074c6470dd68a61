// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package route

import (
	"slices"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Endpoint is the state of one endpoint as the entry that decides has it. The
// entry fills it from the endpoint's last report and its own counts.
type Endpoint struct {
	// VM names the endpoint's machine, Pool the group of endpoints that it
	// belongs to.
	VM               string `json:"vm"`
	Pool             string `json:"pool"`
	AvailabilityZone string `json:"availabilityZone"`
	// Slots is how many requests the endpoint runs at once, Running and Queued
	// how many it runs and holds in its queue. All three are those of its last
	// report and may be out of date.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// InFlight is the number of requests that this entry has sent to the
	// endpoint and that have not ended.
	InFlight int `json:"sent"`
	// Versions lists the versions that the endpoint has loaded, as
	// model@version. Nil means that it does not report them; it then counts as
	// having every version.
	Versions []string `json:"versions,omitempty"`
	// Usable says whether the endpoint may be sent new requests.
	Usable bool `json:"usable"`
}

// View is the state of an entry's endpoints at the time of a decision. It does
// not change. Use NewView.
type View struct {
	endpoints []Endpoint
	// byPool holds the indices of the endpoints of each pool, so that a
	// decision visits only the endpoints of the candidates' pools.
	byPool map[string][]int
}

// NewView returns a view of endpoints. It keeps the slice, which must not change
// after the call.
func NewView(endpoints []Endpoint) View {
	v := View{endpoints: endpoints, byPool: make(map[string][]int)}
	for i := range endpoints {
		pool := endpoints[i].Pool
		v.byPool[pool] = append(v.byPool[pool], i)
	}
	return v
}

// crossZoneLoad is added to the load of an endpoint in another availability zone
// when two endpoints are compared, in requests per slot.
const crossZoneLoad = 0.1

// load returns the expected wait at an endpoint in requests per slot: 1 means
// that every slot has one request to run first. The last report may be older
// than the entry's own last requests, so the larger of the two counts applies.
func (e *Endpoint) load() float64 {
	return float64(max(e.Running+e.Queued, e.InFlight)) / float64(max(e.Slots, 1))
}

// has reports whether the endpoint can run a version, given as model@version. The
// empty version is that of plain services, which every endpoint can run.
func (e *Endpoint) has(version string) bool {
	return version == "" || e.Versions == nil || slices.Contains(e.Versions, version)
}

// meanLoad returns the mean load of the usable endpoints of a pool that have a
// version and are not in avoid; ok is false if there are none.
func (v *View) meanLoad(pool, version string, avoid []int) (mean float64, ok bool) {
	n := 0
	for _, i := range v.byPool[pool] {
		if v.usable(i, version, avoid) {
			mean += v.endpoints[i].load()
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return mean / float64(n), true
}

// pick draws two usable endpoints of the pool at random, with replacement, and
// returns the index of the one with the lower loadWithZone, or -1 if the pool has no
// usable endpoint (Mitzenmacher, "The power of two choices in randomized load
// balancing", 2001).
func (v *View) pick(pool, version string, req *Request) int {
	n := 0
	for _, i := range v.byPool[pool] {
		if v.usable(i, version, req.Avoid) {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	rnd := req.Seed
	a := v.nthUsable(pool, version, req.Avoid, int(mixer.Next(&rnd)%uint64(n)))
	b := v.nthUsable(pool, version, req.Avoid, int(mixer.Next(&rnd)%uint64(n)))
	if v.loadWithZone(b, req) < v.loadWithZone(a, req) {
		return b
	}
	return a
}

// usable reports whether endpoint i may be chosen for a version.
func (v *View) usable(i int, version string, avoid []int) bool {
	e := &v.endpoints[i]
	return e.Usable && e.has(version) && !slices.Contains(avoid, i)
}

// nthUsable returns the index of the n-th usable endpoint of a pool, counted from 0, or
// -1 if there are fewer.
func (v *View) nthUsable(pool, version string, avoid []int, n int) int {
	for _, i := range v.byPool[pool] {
		if !v.usable(i, version, avoid) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// loadWithZone returns the load of endpoint i, with crossZoneLoad added if it is
// in another availability zone than the entry.
func (v *View) loadWithZone(i int, req *Request) float64 {
	e := &v.endpoints[i]
	c := e.load()
	if e.AvailabilityZone != req.AvailabilityZone {
		c += crossZoneLoad
	}
	return c
}

// Uniform returns a number in [0, 1) with 53 random bits. It depends on seed
// only.
func Uniform(seed uint64) float64 {
	const bits = 53
	return float64(mixer.Next(&seed)>>(64-bits)) / (1 << bits)
}
