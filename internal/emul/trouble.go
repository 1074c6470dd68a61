// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"fmt"
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/poison"
)

// crashingPartID is the ID of the part that crashes endpoints.
const crashingPartID = "crashing"

// survivalTime is the time after which an endpoint is taken to have survived the answer to a request, as at
// the routers.
const survivalTime = 500 * time.Millisecond

// addTrouble changes a request as Experiment.BusiestRouter and Experiment.CrashingPart say.
func (p *simulation) addTrouble(r *request) {
	if b := &p.x.BusiestRouter; b.Share > 0 && p.within(b.From, b.Duration) && p.loadRand.Float64() < b.Share {
		r.router = 0
	}
	if c := &p.x.CrashingPart; c.Share > 0 && p.now.Sub(start) >= time.Duration(c.From) {
		r.crashing = p.loadRand.Float64() < c.Share
	}
}

// within reports whether the present time is in the time that begins at from and lasts for length.
func (p *simulation) within(from, length config.Span) bool {
	t := p.now.Sub(start)
	return t >= time.Duration(from) && t < time.Duration(from+length)
}

// subjects returns the shared parts of the request's prompt.
func (r *request) subjects() (list []poison.Subject) {
	if r.sharedTokens > 0 {
		list = append(list, partSubject(fmt.Sprint(r.class.Name, "/", r.part)))
	}
	if r.crashing {
		list = append(list, partSubject(crashingPartID))
	}
	return list
}

// partSubject returns the part with an ID as a subject.
func partSubject(id string) poison.Subject {
	return poison.Part{ID: id, Service: service, Caller: "w"}.Subject()
}

// runningFrom returns the index of the first endpoint from i on that is not down; i if all are.
func (p *simulation) runningFrom(i int) int {
	for k := range p.endpoints {
		if at := (i + k) % len(p.endpoints); !p.endpoints[at].down {
			return at
		}
	}
	return i
}

// crash ends an endpoint under a run that begins to be answered, and schedules its restart. The routers hear of
// the crash at once and judge it after poison.SettleDelay.
func (p *simulation) crash(i int, cause *job) {
	e := p.endpoints[i]
	for _, j := range append(slices.Concat(e.waiting, e.reading, e.decoding), cause) {
		if !j.dropped {
			j.load.InFlight--
			p.result.Lost++
		}
		survivors, others := p.countSurvivors(i)
		for _, t := range j.req.subjects() {
			r := poison.PartReport{Part: t.Part, Endpoint: e.life, Age: p.now.Sub(j.sentAt), Holder: uint64(j.req.arrived.UnixNano())}
			if others > 0 {
				r.Survival = float64(survivors[t.Fingerprint]) / float64(others)
			}
			p.crashes.RecordPart(p.now, &r, true)
		}
	}
	p.result.Crashes++
	p.lives++
	*e = endpoint{engine: e.engine, models: e.models, life: p.lives, down: true}
	p.schedule(poison.SettleDelay, p.judge)
	p.schedule(time.Duration(p.x.CrashingPart.Restart), func() { e.down = false })
}

// countSurvivors counts the endpoints other than one that have answered requests for survivalTime: those that
// have answered requests with each part, and all.
func (p *simulation) countSurvivors(except int) (byPart map[poison.Fingerprint]int, all int) {
	byPart = make(map[poison.Fingerprint]int)
	for i, e := range p.endpoints {
		seen := make(map[poison.Fingerprint]bool)
		survived := false
		for _, j := range e.decoding {
			if i == except || p.now.Sub(j.headAt) < survivalTime {
				continue
			}
			survived = true
			for _, t := range j.req.subjects() {
				if !seen[t.Fingerprint] {
					seen[t.Fingerprint] = true
					byPart[t.Fingerprint]++
				}
			}
		}
		if survived {
			all++
		}
	}
	return byPart, all
}

// judge has the routers judge the parts that they suspect, and again later if some are not due.
func (p *simulation) judge() {
	view := func(uint64) poison.View { return poison.View{InFlight: len(p.endpoints), Listed: len(p.endpoints)} }
	changed, pending := p.crashes.Judge(p.now, view)
	for i := range changed {
		if v := &changed[i]; v.InForce() {
			p.result.QuarantinedParts = append(p.result.QuarantinedParts, v.Part.ID)
		}
	}
	if pending {
		p.schedule(poison.SettleDelay, p.judge)
	}
}
