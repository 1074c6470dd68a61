// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/claims"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/claim"
	"github.com/traildrift/traildrift/pkg/config"
)

// forwardTimeout bounds the wait for the entry that serves a bucket. After it the claim is
// entered here.
const forwardTimeout = config.Span(400 * time.Millisecond)

// enterClaim enters a record in the claim log through the entry that serves the record's
// bucket, and returns the record that stands. Forwarding only increases throughput: a
// single writer per bucket puts many claims into one update. Several writers are safe, as
// the platform rejects one of two conflicting updates and its writer reads again. A claim
// that gets no answer is therefore entered here too. The error is claims.ErrNotWritten or
// claims.ErrOutcomeUnknown.
func (e *Entry) enterClaim(ctx context.Context, r claim.Record) (claim.Record, error) {
	vm, local := e.peers.bucketServer(claims.BucketOf(r.Key))
	if local {
		return e.claims.Claim(ctx, r)
	}
	standing, err := e.forwardClaim(ctx, vm, r)
	if err == nil || errors.Is(err, claims.ErrNotWritten) || errors.Is(err, claims.ErrOutcomeUnknown) {
		return standing, err
	}
	standing, err = e.claims.Claim(ctx, r)
	if errors.Is(err, claims.ErrNotWritten) {
		// The other entry may still write it.
		err = claims.ErrOutcomeUnknown
	}
	return standing, err
}

// forwardClaim enters a record through the entry on vm. After any error but
// claims.ErrNotWritten and claims.ErrOutcomeUnknown no reply has arrived.
func (e *Entry) forwardClaim(ctx context.Context, vm store.VM, r claim.Record) (claim.Record, error) {
	call, cancel := context.WithDeadline(ctx, forwardTimeout.After(time.Now()))
	defer cancel()
	c, err := e.linkCache.get(call, e.Local, vm.Link, "")
	if err != nil {
		return claim.Record{}, err
	}
	var reply wire.ClaimReply
	if err := c.Call(call, wire.MethodClaim, wire.Claim{Stamp: e.Stamp(), Record: r}, &reply); err != nil {
		return claim.Record{}, err
	}
	switch {
	case reply.NotWritten:
		return claim.Record{}, claims.ErrNotWritten
	case reply.OutcomeUnknown:
		return claim.Record{}, claims.ErrOutcomeUnknown
	default:
		return reply.Record, nil
	}
}

// handleClaim enters the record of another entry.
func (e *Entry) handleClaim(ctx context.Context, _ *link.Conn, p wire.Claim) (wire.ClaimReply, error) {
	ctx, cancel := context.WithDeadline(ctx, claimTimeout.After(time.Now()))
	defer cancel()
	standing, err := e.claims.Claim(ctx, p.Record)
	return wire.ClaimReply{
		Stamp:          e.Stamp(),
		Record:         standing,
		NotWritten:     errors.Is(err, claims.ErrNotWritten),
		OutcomeUnknown: errors.Is(err, claims.ErrOutcomeUnknown),
	}, nil
}

// bucketServer returns the live entry VM that serves a bucket, and whether it is this one.
// It is chosen by rendezvous hashing over the VM list.
func (ps *peers) bucketServer(bucket int) (vm store.VM, local bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	name := fmt.Sprint("bucket ", bucket)
	self := ps.e.Common.VM
	best := store.VM{Name: self}
	for _, vm := range ps.entries {
		if rank(name, vm.Name, best.Name) < 0 {
			best = vm
		}
	}
	return best, best.Name == self
}
