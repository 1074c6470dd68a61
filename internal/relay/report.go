// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// EndpointReport is a router's report to others on an endpoint.
type EndpointReport struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// Busy is how long the endpoint reads the prompt of the sender's request, from the receipt of the
	// report; 0 for no request.
	Busy time.Duration
	// Failed says that an attempt of the sender got no complete answer.
	Failed bool
	// Silent says that streams of the sender at the endpoint have stopped.
	Silent bool
	// Prefix identifies the prefix that the endpoint has cached once it has read the prompt; 0 for none.
	Prefix uint64
	// Zone is the availability zone whose routers get the report first. OtherZones says that some of
	// the routers in other zones get it as well.
	Zone       string
	OtherZones bool
}

// failureReportsPerSecond is the maximum rate of failure reports of one router. Reports of two
// routers are enough to eject an endpoint.
const failureReportsPerSecond = 20

// ReceiveEndpointReport applies a report of the router at address by. It ignores unknown endpoints.
func (e *Engine) ReceiveEndpointReport(by netip.Addr, r EndpointReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.book.ByHash(r.Endpoint)
	if p == nil {
		return
	}
	now := e.Now()
	if r.Busy > 0 {
		p.Load.AddPrompt(now, r.Busy)
	}
	if r.Prefix != 0 {
		e.book.RecordHolder(r.Prefix, r.Endpoint, now)
	}
	if r.Silent {
		e.receiveSilence(by, r.Endpoint)
	}
	if r.Failed {
		e.enqueueProbe(r.Endpoint)
	}
	if r.Failed && p.Trust.RecordPeerFailure(now, by) {
		e.Log.Info("relay: An endpoint rests, as other routers reported failures.", zap.String("endpoint", p.ID), zap.Stringer("by", by))
	}
}

// reportFailure reports to the other routers that an attempt got no complete answer, within
// failureReportsPerSecond.
func (e *Engine) reportFailure(endpoint uint64, now time.Time) {
	if !e.disabled(FailureReports) && e.failureReports.AllowN(now, 1) {
		e.SendEndpointReport(EndpointReport{Endpoint: endpoint, Failed: true, OtherZones: true})
	}
}
