// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"net/netip"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
)

// ticketPrefix is the prefix of tickets.
const ticketPrefix = "tdt1"

// ticketTTL is how long after its issue a ticket may be started, by the monotonic clock of
// the entry that issued it.
const ticketTTL = 15 * time.Minute

// ticket is the content of a ticket. A single process may start its request, so that
// neither a write to the platform nor the clock of another process is involved.
type ticket struct {
	Workspace string `json:"workspace"`
	// Incarnation is the entry that may start the request, Link its address.
	Incarnation string         `json:"incarnation"`
	Link        netip.AddrPort `json:"link"`
	Nonce       string         `json:"nonce"`
	// EndsAge is the age of that process at which the ticket ends, in nanoseconds. EndsAt
	// is the same time by the wall clock, for display.
	EndsAge time.Duration `json:"endsAge"`
	EndsAt  time.Time     `json:"endsAt"`
}

func isTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix+".") }

// ticketResponse is the response to POST /v1/tickets.
type ticketResponse struct {
	Ticket string    `json:"ticket"`
	EndsAt time.Time `json:"endsAt"`
}

// serveTicket issues a ticket for the workspace of the API key.
func (e *Entry) serveTicket(ctx *fasthttp.RequestCtx) {
	workspace, err := e.authorize(ctx)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	if !ctx.IsPost() {
		e.refuse(ctx, fault.New(fault.BadRequest, fault.NotRun, "Tickets are asked for by POST."))
		return
	}
	if e.stopping.Load() {
		e.refuse(ctx, fault.New(fault.Stopping, fault.NotRun, "The entry is stopping.").WithRetryAt(defaultRetryAfter.After(e.Now())))
		return
	}
	t := ticket{
		Workspace:   workspace,
		Incarnation: e.Identity.Incarnation,
		Link:        e.Identity.Link,
		Nonce:       proc.NewID(),
		EndsAge:     e.age() + ticketTTL,
		EndsAt:      e.Now().Add(ticketTTL),
	}
	text, sealErr := e.Tokens.Seal(ticketPrefix, t)
	if sealErr != nil {
		e.refuse(ctx, fault.From(sealErr, fault.NotRun))
		return
	}
	writeJSON(ctx, ticketResponse{Ticket: text, EndsAt: t.EndsAt})
}

// openTicket verifies that a ticket is authentic and belongs to the workspace, and returns
// its content.
func (e *Entry) openTicket(workspace, key string) (ticket, *fault.Error) {
	var t ticket
	if err := e.Tokens.Open(ticketPrefix, key, &t); err != nil {
		return t, fault.New(fault.KeyInvalid, fault.NotRun, "The ticket does not verify.")
	}
	if t.Workspace != workspace {
		return t, fault.New(fault.KeyInvalid, fault.NotRun, "The ticket is another workspace's.")
	}
	return t, nil
}

// startOrJoinTicket starts the request of a ticket here, or sends it to the only entry that
// may start it and follows the run there.
func (e *Entry) startOrJoinTicket(call wire.Call, key string) (*request, *fault.Error) {
	t, err := e.openTicket(call.Workspace, key)
	if err != nil {
		return nil, err
	}
	if t.Incarnation == e.Identity.Incarnation {
		return e.startTicket(call, key, &t)
	}
	r := e.newRequest(call, key)
	join := wire.Join{Incarnation: t.Incarnation, Key: key, BodyHash: bodyHash(&call), Start: &call}
	if err := e.joinRemote(r, join, t.Link); err != nil {
		e.finish(r, 0, err)
	}
	return r, nil
}

// startTicket starts the request of a ticket that this entry issued, or joins the run that
// the ticket started before. An expired ticket starts nothing. Whether it started a run is
// remembered for another ticketTTL.
func (e *Entry) startTicket(call wire.Call, key string, t *ticket) (*request, *fault.Error) {
	r := e.newRequest(call, key)
	r.record.Key = "ticket"
	hash := bodyHash(&call)
	if e.age() >= t.EndsAge {
		r.cancel()
		return e.joinExpiredTicket(call.Workspace, key, hash, t)
	}
	holder, err := e.reserveKey(r, hash, t.EndsAge+ticketTTL)
	if holder != r {
		r.cancel()
		return holder, err
	}
	if err := e.start(r); err != nil {
		e.finish(r, 0, err)
	}
	return r, nil
}

// joinExpiredTicket joins the run of an expired ticket. If there is none, it returns
// fault.KeyInvalid: as not run within ticketTTL of the expiry, and as possibly run later,
// when the run may have been forgotten.
func (e *Entry) joinExpiredTicket(workspace, key, hash string, t *ticket) (*request, *fault.Error) {
	run, ok := e.keyedRuns.runOf(scopedKeyOf(workspace, key))
	if !ok && e.age() < t.EndsAge+ticketTTL {
		return nil, fault.New(fault.KeyInvalid, fault.NotRun, "The ticket has ended; it was never started.")
	}
	if !ok {
		return nil, fault.New(fault.KeyInvalid, fault.MayHaveRun, "The ticket has ended long ago.")
	}
	return e.joinLocal(run, hash)
}
