// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package route

import "slices"

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
	// Usable says that the endpoint may get new work.
	Usable bool `json:"usable"`
}

// View is what an entry knows of its endpoints; it is a value.
type View struct {
	Endpoints []Endpoint
}

// farZone is what another availability zone counts, in turns of the slots.
const farZone = 0.1

// load returns the expected wait at an endpoint, in turns of its slots. The
// entry's own runs count where the report cannot have seen them yet.
func (e *Endpoint) load() float64 {
	return float64(max(e.Running+e.Queued, e.Sent)) / float64(max(e.Slots, 1))
}

// wait returns the mean load of a pool's usable endpoints; ok is false if
// there is none.
func (v *View) wait(pool string, avoid []int) (mean float64, ok bool) {
	n := 0
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if e.Pool != pool || !e.Usable || slices.Contains(avoid, i) {
			continue
		}
		mean += e.load()
		n++
	}
	if n == 0 {
		return 0, false
	}
	return mean / float64(n), true
}

// pick draws two usable endpoints of the pool and returns the index of the one
// with the shorter expected wait, or -1 (Mitzenmacher, "The power of two
// choices in randomized load balancing", 2001).
func (v *View) pick(pool string, req *Request) int {
	n := 0
	for i := range v.Endpoints {
		if v.usable(i, pool, req.Avoid) {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	rnd := req.Seed
	a := v.nth(pool, req.Avoid, int(next(&rnd)%uint64(n)))
	b := v.nth(pool, req.Avoid, int(next(&rnd)%uint64(n)))
	if v.cost(b, req) < v.cost(a, req) {
		return b
	}
	return a
}

func (v *View) usable(i int, pool string, avoid []int) bool {
	e := &v.Endpoints[i]
	return e.Usable && e.Pool == pool && !slices.Contains(avoid, i)
}

func (v *View) nth(pool string, avoid []int, n int) int {
	for i := range v.Endpoints {
		if !v.usable(i, pool, avoid) {
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
	e := &v.Endpoints[i]
	c := e.load()
	if e.AvailabilityZone != req.AvailabilityZone {
		c += farZone
	}
	return c
}

// next is one step of SplitMix64 (Steele, Lea and Flood, 2014).
func next(x *uint64) uint64 {
	*x += 0x9e3779b97f4a7c15
	z := *x
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
