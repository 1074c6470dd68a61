// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package claims writes the claim log to the platform: many claims in one
// conditional update while the update before is in flight.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/claim"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Kind is the kind of the slices' objects.
const Kind = "claims"

const (
	// ErrNotWritten says that the claim is not in the log and will not be.
	ErrNotWritten fault.Const = "claims: the platform did not take the claim"
	// ErrOutcomeUnknown says that the claim may be in the log, now or later.
	ErrOutcomeUnknown fault.Const = "claims: the claim may have been taken"
)

const (
	// Buckets is how many buckets there are; it must be the same in every
	// process of a fleet.
	Buckets = 4
	// minWriteInterval is the least time between two updates of a bucket, so that all
	// buckets together make at most 200 writes a second. The first claim after
	// a quiet time does not wait.
	minWriteInterval = config.Span(20 * time.Millisecond)
	// maxQueuedClaims bounds the claims that wait for one bucket.
	maxQueuedClaims = 4096
	// maxBatchClaims bounds the claims of one update.
	maxBatchClaims = 256
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
)

// KeyOf returns the hash that names a workspace's key in the log.
func KeyOf(workspace, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(h[:16])
}

// BucketOf returns the bucket of a hashed key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Log is a process's access to the claim log. Use New.
type Log struct {
	log     *zap.Logger
	store   *store.Client
	buckets [Buckets]*bucket
	// Writes, Reads and Claims count the platform's calls and what they
	// carried; Bytes the bytes written.
	Writes, Reads, Claims, Bytes atomic.Int64
}

// pendingClaim is one claim that waits for the log.
type pendingClaim struct {
	ctx    context.Context
	record claim.Record
	// maybeWritten says that a write with the record was sent and not refused: from
	// then on its absence proves nothing while that write may be in flight.
	maybeWritten bool
	done         chan result
}

type result struct {
	winner claim.Record
	err    error
}

type bucket struct {
	n     int
	queue chan *pendingClaim
	// local is only used by the bucket's goroutine.
	local claim.Bucket
	// listed says that the bucket was read once as a whole.
	listed bool
	// nextWrite is when the bucket may be updated again.
	nextWrite time.Time
	// upToDate says that read was in step with the platform at the last call.
	upToDate bool
}

// New returns a log; Run must be started before Claim.
func New(l *zap.Logger, c *store.Client) *Log {
	out := &Log{log: l, store: c}
	for i := range out.buckets {
		out.buckets[i] = &bucket{n: i, queue: make(chan *pendingClaim, maxQueuedClaims)}
	}
	return out
}

// Claim enters a claim and returns the one that stands for its key: the
// caller's own if it won. The error is ErrNotWritten or ErrOutcomeUnknown.
func (l *Log) Claim(ctx context.Context, r claim.Record) (claim.Record, error) {
	p := &pendingClaim{ctx: ctx, record: r, done: make(chan result, 1)}
	select {
	case l.buckets[BucketOf(r.Key)].queue <- p:
	default:
		return claim.Record{}, ErrNotWritten
	}
	select {
	case res := <-p.done:
		return res.winner, res.err
	case <-ctx.Done():
		return claim.Record{}, ErrOutcomeUnknown
	}
}

// Run serves one bucket until ctx is done.
func (l *Log) Run(ctx context.Context, n int) error {
	b := l.buckets[n]
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-b.queue:
			tasks.Pause(ctx, b.nextWrite)
			l.commit(ctx, b, b.collectBatch(p))
			b.nextWrite = minWriteInterval.After(time.Now())
		}
	}
}

// collectBatch takes everything that waits, up to the size of a batch.
func (b *bucket) collectBatch(first *pendingClaim) []*pendingClaim {
	batch := []*pendingClaim{first}
	for len(batch) < maxBatchClaims {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// commit settles every op: won, held by another, not written or in doubt.
func (l *Log) commit(ctx context.Context, b *bucket, pending []*pendingClaim) {
	for len(pending) > 0 {
		pending = dropCanceled(pending)
		if !b.upToDate {
			if err := l.refresh(ctx, b); err != nil {
				l.failAll(pending, err)
				return
			}
		}
		pending = b.answerDecided(pending)
		if len(pending) == 0 {
			return
		}
		if err := l.write(ctx, b, pending); err != nil {
			b.upToDate = false
			if errors.Is(err, store.ErrDown) {
				l.failAll(pending, err)
				return
			}
		}
	}
}

// dropCanceled drops the ops whose caller waits no more.
func dropCanceled(pending []*pendingClaim) []*pendingClaim {
	var remaining []*pendingClaim
	for _, p := range pending {
		if p.ctx.Err() != nil {
			p.done <- result{err: ErrOutcomeUnknown}
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

// failAll answers ops while the platform does not answer. A claim that no write
// has carried is certainly not in the log.
func (l *Log) failAll(pending []*pendingClaim, err error) {
	l.log.Warn("claims: The platform does not answer.", zap.Int("claims", len(pending)), logs.Err(err))
	for _, p := range pending {
		if p.maybeWritten {
			p.done <- result{err: ErrOutcomeUnknown}
		} else {
			p.done <- result{err: ErrNotWritten}
		}
	}
}

// answerDecided answers the ops whose key has a claim, the own one or another's, and
// returns those that still have to be written. Of several ops on one key only
// the first is written in a batch.
func (b *bucket) answerDecided(pending []*pendingClaim) []*pendingClaim {
	var remaining []*pendingClaim
	for _, p := range pending {
		held, ok := b.local.Get(p.record.Key)
		if ok && !b.local.CanAppend(p.record) {
			p.done <- result{winner: held}
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

// write sends one update with the first op of each key.
func (l *Log) write(ctx context.Context, b *bucket, pending []*pendingClaim) error {
	seenKeys := make(map[string]bool)
	var added []claim.Record
	var sent []*pendingClaim
	for _, p := range pending {
		if !seenKeys[p.record.Key] && b.local.CanAppend(p.record) {
			seenKeys[p.record.Key] = true
			added = append(added, p.record)
			sent = append(sent, p)
		}
	}
	if !assert.That(len(added) > 0, "claimBatchIsNotEmpty") {
		return store.ErrDown
	}
	slice, version, records, body := b.local.EncodeAppend(added)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.Writes.Add(1)
	l.Bytes.Add(int64(len(body)))
	next, err := l.store.Put(call, Kind, sliceName(b.n, slice), version, body)
	for _, p := range sent {
		p.maybeWritten = p.maybeWritten || !errors.Is(err, store.ErrDown)
	}
	if err != nil {
		return err
	}
	assert.That(next > version, "objectVersionsGrow")
	l.Claims.Add(int64(len(added)))
	b.local.ApplyWritten(slice, next, records)
	return nil
}

// refresh reads the last known slice again and every slice after it; the first
// time, all slices in one call.
func (l *Log) refresh(ctx context.Context, b *bucket) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !b.listed {
		if err := l.list(call, b); err != nil {
			return errors.Mark(err, store.ErrDown)
		}
	}
	slice, _ := b.local.NextSlice()
	for {
		l.Reads.Add(1)
		o, err := l.store.Get(call, Kind, sliceName(b.n, slice))
		if errors.Is(err, store.ErrNotFound) {
			b.upToDate = true
			return nil
		}
		if err != nil {
			return errors.Mark(err, store.ErrDown)
		}
		if err := b.local.ApplyRead(slice, o.Version, o.Value); err != nil {
			return errors.Mark(err, store.ErrDown)
		}
		next, version := b.local.NextSlice()
		if version != 0 {
			b.upToDate = true
			return nil
		}
		slice = next
	}
}

// list reads every slice of a bucket.
func (l *Log) list(ctx context.Context, b *bucket) error {
	l.Reads.Add(1)
	objects, err := l.store.List(ctx, Kind, fmt.Sprintf("%02d-", b.n))
	if err != nil {
		return err
	}
	for i, o := range objects {
		if o.Name != sliceName(b.n, i) {
			return errors.Newf("claims: slice %d of bucket %d is missing", i, b.n)
		}
		if err := b.local.ApplyRead(i, o.Version, o.Value); err != nil {
			return err
		}
	}
	b.listed = true
	return nil
}

func sliceName(bucket, slice int) string { return fmt.Sprintf("%02d-%08d", bucket, slice) }
