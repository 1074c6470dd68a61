// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package route

import (
	"slices"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Endpoint is what an entry knows of one endpoint when it decides.
type Endpoint struct {
	VM               string `json:"vm"`
	Pool             string `json:"pool"`
	AvailabilityZone string `json:"availabilityZone"`
	// Slots, Running and Queued are as last reported; reports lag.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Sent counts this entry's own runs that are not ended yet.
	Sent int `json:"sent"`
	// Versions lists what the endpoint has loaded, as model@version; nil if it
	// does not say, and then it counts as having all.
	Versions []string `json:"versions,omitempty"`
	// Usable says that the endpoint may get new work.
	Usable bool `json:"usable"`
}

// View is what an entry knows of its endpoints; it is a value. Use NewView.
type View struct {
	endpoints []Endpoint
	// byPool holds the indices of the endpoints of each pool, so that a
	// decision looks at those of the candidates' pools only.
	byPool map[string][]int
}

// NewView returns a view of endpoints, which it keeps.
func NewView(endpoints []Endpoint) View {
	v := View{endpoints: endpoints, byPool: make(map[string][]int)}
	for i := range endpoints {
		pool := endpoints[i].Pool
		v.byPool[pool] = append(v.byPool[pool], i)
	}
	return v
}

// farZone is what another availability zone counts, in turns of the slots.
const farZone = 0.1

// load returns the expected wait at an endpoint, in turns of its slots. The
// entry's own runs count where the report cannot have seen them yet.
func (e *Endpoint) load() float64 {
	return float64(max(e.Running+e.Queued, e.Sent)) / float64(max(e.Slots, 1))
}

// has reports whether the endpoint has a version; every one has the empty one.
func (e *Endpoint) has(version string) bool {
	return version == "" || e.Versions == nil || slices.Contains(e.Versions, version)
}

// wait returns the mean load of the usable endpoints of a pool that have a
// version; ok is false if there is none.
func (v *View) wait(pool, version string, avoid []int) (mean float64, ok bool) {
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

// pick draws two usable endpoints of the pool and returns the index of the one
// with the shorter expected wait, or -1 (Mitzenmacher, "The power of two
// choices in randomized load balancing", 2001).
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
	a := v.nth(pool, version, req.Avoid, int(mixer.Next(&rnd)%uint64(n)))
	b := v.nth(pool, version, req.Avoid, int(mixer.Next(&rnd)%uint64(n)))
	if v.cost(b, req) < v.cost(a, req) {
		return b
	}
	return a
}

func (v *View) usable(i int, version string, avoid []int) bool {
	e := &v.endpoints[i]
	return e.Usable && e.has(version) && !slices.Contains(avoid, i)
}

func (v *View) nth(pool, version string, avoid []int, n int) int {
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

func (v *View) cost(i int, req *Request) float64 {
	e := &v.endpoints[i]
	c := e.load()
	if e.AvailabilityZone != req.AvailabilityZone {
		c += farZone
	}
	return c
}

// Uniform returns a number in [0, 1) that seed determines.
func Uniform(seed uint64) float64 {
	const bits = 53
	return float64(mixer.Next(&seed)>>(64-bits)) / (1 << bits)
}
