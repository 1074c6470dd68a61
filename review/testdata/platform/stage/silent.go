// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Bounds of the site kst-mapview.
const (
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
)

var errNoTraffic = errors.New("no requests were served")

// rest is how long the routers serve after the disruption.
const rest = 9 * time.Second

// silence makes the open connections to the store silent, unless there is no trouble, and returns when.
func (s *stage) silence() time.Time {
	if !s.trouble {
		return s.rec.add("platform", "no disruption")
	}
	n := s.link.silence()
	return s.rec.add("platform", "%d open connections to the store go silent; new ones work", n)
}

// inTouch returns from when on a machine is in touch again after a disruption at a time.
func (s *stage) inTouch(at time.Time) time.Time {
	if !s.trouble {
		return time.Time{}
	}
	return at.Add(contact)
}

// usual returns the requests of a usual caller.
func usual(n int) (method, path, key string) {
	if n%2 == 0 {
		return http.MethodPost, "/parcel-lookup/a", keys[0]
	}
	return http.MethodGet, "/tile-fetch/a", keys[1]
}

// drain lets one runner say that it leaves and another one leave without saying so, shortly after the open connections
// to the store have gone silent.
func (s *stage) drain() (broken []string, err error) {
	if err := s.startRouters(); err != nil {
		return nil, err
	}
	s.startCallers(2, 40*time.Millisecond, usual)
	time.Sleep(s.calm)
	silentAt := s.silence()
	time.Sleep(200 * time.Millisecond)
	leftAt := make(map[string]time.Time)
	s.runners[0].leaving.Store(true)
	leftAt[s.runners[0].id] = s.store.put("servers", s.runners[0].id, s.runners[0].entry("draining"))
	s.runners[1].leaving.Store(true)
	leftAt[s.runners[1].id] = s.store.remove("servers", s.runners[1].id)
	time.Sleep(rest)
	s.quiet()
	if before, after := s.served(silentAt); before == 0 || after == 0 {
		return nil, errNoTraffic
	}
	touch := s.inTouch(silentAt)
	sent := make(map[string]*call)
	for _, c := range s.calls.all() {
		sent[c.id] = c
	}
	for _, a := range s.runs.all() {
		left, leaves := leftAt[a.runner]
		c := sent[a.id]
		if !leaves || c == nil || c.sentAt.Before(touch) || !a.at.After(left.Add(drainBound)) {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: %s was sent to %s at %.3f, which was in touch again since %.3f, and reached %s at %.3f, %d ms after the store had taken that the runner left",
			a.id, c.router.name, s.rec.since(c.sentAt), s.rec.since(touch), a.runner, s.rec.since(a.at), a.at.Sub(left).Milliseconds()))
	}
	if len(broken) > 0 {
		broken = append(broken, fmt.Sprintf("%d requests reached runners that had left", len(broken)))
	}
	return broken, nil
}
