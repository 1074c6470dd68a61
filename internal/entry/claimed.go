// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/claims"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/claim"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

const (
	// claimWithin bounds the wait for the claim log.
	claimWithin = config.Span(2 * time.Second)
	// keyForget is how long the entry that ran a key remembers that it did.
	keyForget = 24 * time.Hour
	// claimTries bounds how often a key whose runs were closed is claimed
	// again for one request.
	claimTries = 4
	// unsettledBack is when the caller of a key in doubt may ask again.
	unsettledBack = config.Span(5 * time.Second)
)

// bodyHash is what a key binds: the request without its deadline and session.
func bodyHash(c *wire.Call) string {
	h := sha256.New()
	for _, part := range []string{c.Workload, c.District, c.Model, c.Service, c.Method, c.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// placeClaimed claims the caller's own key in the log and starts the request,
// or joins the run that holds the key. Repeats in this process join the first
// before the log is asked.
func (e *Entry) placeClaimed(call wire.Call, key string) (*request, *fault.Error) {
	r := e.newRequest(call, key)
	body := bodyHash(&call)
	holder, err := e.hold(r, body, e.age()+keyForget)
	if err != nil || holder != r {
		r.cancel()
		return holder, err
	}
	if err := e.takeKey(r, body); err != nil {
		e.finish(r, 0, err)
	}
	return r, nil
}

// takeKey claims the key of r and starts r, or makes r follow the run that
// holds the key elsewhere.
func (e *Entry) takeKey(r *request, body string) *fault.Error {
	r.record.Key = "claimed"
	generation := 0
	for range claimTries {
		held, err := e.claim(r, body, generation)
		if err != nil {
			return err
		}
		if held.Run == r.id {
			return e.start(r)
		}
		if err := e.follow(r, body, &held); err != errClosed {
			return err
		}
		r.joined = false
		generation = held.Generation + 1
	}
	return e.unsettled("The key was claimed again and again.")
}

// follow makes r follow the run that a claim names. It returns errClosed if
// that run did not and will not run.
func (e *Entry) follow(r *request, body string, held *claim.Record) *fault.Error {
	if held.BodyHash != body {
		return fault.New(fault.KeyReused, fault.NotRun, "The key was used with another request.")
	}
	if held.Owner != e.Identity.Incarnation {
		join := wire.Join{Incarnation: held.Owner, RunID: held.Run, Key: r.key, BodyHash: body}
		return e.joinRemote(r, join, held.Link)
	}
	if _, err := e.joinLocal(held.Run, body); err != nil {
		return err
	}
	return e.unsettled("The key's run in this process is no longer held under its name.")
}

func (e *Entry) unsettled(message string) *fault.Error {
	return fault.New(fault.KeyUnsettled, fault.MayHaveRun, "%s", message).WithRetryAt(unsettledBack.After(e.Now()))
}

// claim enters the claim of r and returns the one that stands. If it fails the
// request is refused as not run and never starts here: it stays closed, and a
// repeat that finds the claim in the log after all is told so.
func (e *Entry) claim(r *request, body string, generation int) (claim.Record, *fault.Error) {
	now := e.Now()
	ctx, cancel := context.WithDeadline(r.ctx, given(now, r.call.Deadline, claimWithin))
	defer cancel()
	held, err := e.enterClaim(ctx, claim.Record{
		Key:        claims.KeyOf(r.call.Workspace, r.key),
		Generation: generation,
		Run:        r.id,
		BodyHash:   body,
		Owner:      e.Identity.Incarnation,
		Link:       e.Identity.Link,
	})
	if err == nil {
		return held, nil
	}
	if errors.Is(err, claims.ErrNotWritten) {
		e.keyed.drop(r.id)
	}
	return held, fault.New(fault.PlatformDown, fault.NotRun, "The platform does not take the claim on the key.").WithRetryAt(comeBackAfter.After(e.Now()))
}
