// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/wire"
)

// explain returns the trail record of a recent request as JSON, with the settings that
// applied. It returns false if the record is no longer kept.
func (e *Entry) explain(requestID string) ([]byte, bool) {
	rec, ok := e.recent.get(requestID)
	if !ok {
		return nil, false
	}
	rec.FillSettings()
	body, err := json.Marshal(rec)
	return body, err == nil
}

// stateDump is the state of an entry that /debug/state shows.
type stateDump struct {
	UnderWay  int64          `json:"underWay"`
	Followers int64          `json:"followers"`
	Stopping  bool           `json:"stopping"`
	Watching  bool           `json:"watching"`
	Endpoints []endpointDump `json:"endpoints"`
	BillsHeld int            `json:"billsHeld"`
	BillsLost int64          `json:"billsLost"`
	TrailHeld int            `json:"trailHeld"`
	TrailLost int64          `json:"trailLost"`
	Keys      int            `json:"keys"`
	KeysBytes int            `json:"keysBytes"`
	Claims    int64          `json:"claims"`
	ClaimPuts int64          `json:"claimPuts"`
}

// endpointDump is the state of one linked endpoint in stateDump.
type endpointDump struct {
	VM        string    `json:"vm"`
	Pool      string    `json:"pool"`
	Linked    bool      `json:"linked"`
	Usable    bool      `json:"usable"`
	InFlight  int       `json:"sent"`
	SuspectAt time.Time `json:"suspectAt"`
	Load      wire.Load `json:"load"`
}

func (e *Entry) state() any {
	d := stateDump{UnderWay: e.inFlight.Load(), Followers: e.followers.Load(), Stopping: e.stopping.Load(), Watching: e.peers.watching()}
	d.BillsHeld, d.BillsLost = e.bills.Held()
	d.TrailHeld, d.TrailLost = e.trail.Held()
	d.Keys, d.KeysBytes = e.keyedRuns.count()
	d.Claims, d.ClaimPuts = e.claims.Claims.Load(), e.claims.Writes.Load()
	_, list := e.peers.view(e.Now())
	for _, p := range list {
		p.mu.Lock()
		d.Endpoints = append(d.Endpoints, endpointDump{p.vm.Name, p.vm.Pool, p.conn != nil, p.usable(e.Now()), p.inFlight, p.suspectAt, p.load})
		p.mu.Unlock()
	}
	return d
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
