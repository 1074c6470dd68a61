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

// forwardWithin is how long the entry that serves a bucket may take before a
// claim is entered here instead.
const forwardWithin = config.Span(400 * time.Millisecond)

// enterClaim enters a record in the claim log, through the entry that serves
// the record's bucket. That is for speed only: one writer for each bucket can
// put many claims in one update. Two writers collide at the platform and one
// reads again, so a claim that gets no answer is simply entered here too.
func (e *Entry) enterClaim(ctx context.Context, r claim.Record) (claim.Record, error) {
	vm, here := e.peers.serves(claims.BucketOf(r.Key))
	if here {
		return e.claims.Claim(ctx, r)
	}
	held, err := e.forwardClaim(ctx, vm, r)
	if err == nil || errors.Is(err, claims.ErrNotWritten) || errors.Is(err, claims.ErrDoubt) {
		return held, err
	}
	held, err = e.claims.Claim(ctx, r)
	if errors.Is(err, claims.ErrNotWritten) {
		// The other entry may still write it.
		err = claims.ErrDoubt
	}
	return held, err
}

func (e *Entry) forwardClaim(ctx context.Context, vm store.VM, r claim.Record) (claim.Record, error) {
	call, cancel := context.WithDeadline(ctx, forwardWithin.After(time.Now()))
	defer cancel()
	c, err := e.entryLinks.to(call, e.Local, vm.Link, "")
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
		return claim.Record{}, claims.ErrDoubt
	default:
		return reply.Record, nil
	}
}

// handleClaim enters another entry's record.
func (e *Entry) handleClaim(ctx context.Context, _ *link.Conn, p wire.Claim) (wire.ClaimReply, error) {
	ctx, cancel := context.WithDeadline(ctx, claimWithin.After(time.Now()))
	defer cancel()
	held, err := e.claims.Claim(ctx, p.Record)
	return wire.ClaimReply{
		Stamp:          e.Stamp(),
		Record:         held,
		NotWritten:     errors.Is(err, claims.ErrNotWritten),
		OutcomeUnknown: errors.Is(err, claims.ErrDoubt),
	}, nil
}

// serves returns the live entry VM that serves a bucket, and whether it is this
// one, by rendezvous hashing over the VM list.
func (ps *peers) serves(bucket int) (vm store.VM, here bool) {
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
