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
	// claimTimeout bounds the wait for the claim log.
	claimTimeout = config.Span(2 * time.Second)
	// keyRetention is how long the entry that ran a request remembers its key.
	keyRetention = 24 * time.Hour
	// maxClaimAttempts is the maximum number of claims on a key for one request, as a key
	// whose run was closed is claimed again.
	maxClaimAttempts = 4
	// unsettledRetryAfter is the time after which the caller of a key with an unknown
	// outcome may retry.
	unsettledRetryAfter = config.Span(5 * time.Second)
)

// bodyHash returns the hash that binds a key to its request. It covers the target and the
// body of the call, but not its deadline, session, priority and content type.
func bodyHash(c *wire.Call) string {
	h := sha256.New()
	for _, part := range []string{c.Workload, c.District, c.Model, c.Service, c.Method, c.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// startOrJoinClaimed claims the caller's own key in the log and starts the request, or
// joins the run that holds the key. A repeat in this process joins the first request
// without reading the log.
func (e *Entry) startOrJoinClaimed(call wire.Call, key string) (*request, *fault.Error) {
	r := e.newRequest(call, key)
	hash := bodyHash(&call)
	holder, err := e.reserveKey(r, hash, e.age()+keyRetention)
	if err != nil || holder != r {
		r.cancel()
		return holder, err
	}
	if err := e.claimKey(r, hash); err != nil {
		e.finish(r, 0, err)
	}
	return r, nil
}

// claimKey claims the key of r and starts r, or makes r follow the run of another entry
// that holds the key.
func (e *Entry) claimKey(r *request, hash string) *fault.Error {
	r.record.Key = "claimed"
	generation := 0
	for range maxClaimAttempts {
		standing, err := e.enterKeyClaim(r, hash, generation)
		if err != nil {
			return err
		}
		if standing.Run == r.id {
			return e.start(r)
		}
		if err := e.follow(r, hash, &standing); err != errClosed {
			return err
		}
		r.following = false
		generation = standing.Generation + 1
	}
	return e.keyUnsettled("The key was claimed again and again.")
}

// follow makes r follow the run that a claim names. It returns errClosed if that run did
// not run and never will.
func (e *Entry) follow(r *request, hash string, standing *claim.Record) *fault.Error {
	if standing.BodyHash != hash {
		return fault.New(fault.KeyReused, fault.NotRun, "The key was used with another request.")
	}
	if standing.Owner != e.Identity.Incarnation {
		join := wire.Join{Incarnation: standing.Owner, RunID: standing.Run, Key: r.key, BodyHash: hash}
		return e.joinRemote(r, join, standing.Link)
	}
	if _, err := e.joinLocal(standing.Run, hash); err != nil {
		return err
	}
	return e.keyUnsettled("The key's run in this process is no longer held under its name.")
}

// keyUnsettled returns the error for a key whose outcome is unknown.
func (e *Entry) keyUnsettled(message string) *fault.Error {
	return fault.New(fault.KeyUnsettled, fault.MayHaveRun, "%s", message).WithRetryAt(unsettledRetryAfter.After(e.Now()))
}

// enterKeyClaim enters the claim of r and returns the claim that stands. If it fails, the
// request is refused as not run and never starts here. If the claim may be in the log, the
// run stays closed in this process, and a repeat that finds the claim is told that it did
// not run.
func (e *Entry) enterKeyClaim(r *request, hash string, generation int) (claim.Record, *fault.Error) {
	now := e.Now()
	ctx, cancel := context.WithDeadline(r.ctx, capDeadline(now, r.call.Deadline, claimTimeout))
	defer cancel()
	standing, err := e.enterClaim(ctx, claim.Record{
		Key:        claims.KeyOf(r.call.Workspace, r.key),
		Generation: generation,
		Run:        r.id,
		BodyHash:   hash,
		Owner:      e.Identity.Incarnation,
		Link:       e.Identity.Link,
	})
	if err == nil {
		return standing, nil
	}
	if errors.Is(err, claims.ErrNotWritten) {
		e.keyedRuns.drop(r.id)
	}
	return standing, fault.New(fault.PlatformDown, fault.NotRun, "The platform does not take the claim on the key.").WithRetryAt(defaultRetryAfter.After(e.Now()))
}
