// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package claims reads and writes the claim log on the platform; see pkg/claim for its
// structure. Claims that arrive while an update of their bucket is in flight are written
// together by the next conditional update.
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

// Kind is the kind of the objects that hold slices.
const Kind = "claims"

const (
	// ErrNotWritten reports that the claim is not in the log and will not be.
	ErrNotWritten fault.Const = "claims: the platform did not take the claim"
	// ErrOutcomeUnknown reports that the claim may be in the log or may yet appear
	// there.
	ErrOutcomeUnknown fault.Const = "claims: the claim may have been taken"
)

const (
	// Buckets is the number of buckets of the log. It must be the same in all processes
	// of a fleet, as it determines the bucket of each key.
	Buckets = 4
	// minWriteInterval is the minimum time between two updates of a bucket. It limits
	// the updates of all buckets together to 200 per second. A claim that arrives after
	// an idle period is written at once.
	minWriteInterval = config.Span(20 * time.Millisecond)
	// maxQueuedClaims is the maximum number of claims in the queue of a bucket.
	maxQueuedClaims = 4096
	// maxBatchClaims is the maximum number of claims that are handled together.
	maxBatchClaims = 256
	// callTimeout is the timeout of a write to the platform, and of all reads that
	// bring a bucket up to date.
	callTimeout = 2 * time.Second
)

// KeyOf returns the key of a claim record: a hash of the workspace and of the key that
// the caller sent, as 32 hexadecimal digits.
func KeyOf(workspace, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(h[:16])
}

// BucketOf returns the index of the bucket of a key that KeyOf returned, 0 to Buckets-1.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Log reads and writes the claim log for one process. It must be created with New.
type Log struct {
	log     *zap.Logger
	store   *store.Client
	buckets [Buckets]*bucket
	// Writes and Reads count the write and read calls to the platform, Claims the claims
	// in successful writes, Bytes the bytes of the bodies of all write calls.
	Writes, Reads, Claims, Bytes atomic.Int64
}

// pendingClaim is a claim whose caller waits for the result.
type pendingClaim struct {
	ctx    context.Context
	record claim.Record
	// state is a claimState. The caller changes it from claimQueued to claimWithdrawn, and
	// the goroutine of Run from claimQueued to claimSent and back.
	state atomic.Int32
	// done has capacity 1 and receives the result.
	done chan result
}

// claimState says whether the record of a claim may be in the log.
type claimState = int32

const (
	// claimQueued means that no write that may have taken effect included the record.
	claimQueued claimState = iota
	// claimSent means that a write with the record was sent and is not known to have
	// failed. The record may appear in the log later, as the write may still be in flight.
	claimSent
	// claimWithdrawn means that the caller has given up and no write may include the
	// record.
	claimWithdrawn
)

// send marks the claim as sent. It returns false if the caller has withdrawn it.
func (p *pendingClaim) send() bool {
	return p.state.Load() == claimSent || p.state.CompareAndSwap(claimQueued, claimSent)
}

// withdraw prevents that a write includes the record from now on. It returns
// ErrNotWritten if none has, and ErrOutcomeUnknown otherwise.
func (p *pendingClaim) withdraw() error {
	if p.state.CompareAndSwap(claimQueued, claimWithdrawn) || p.state.Load() == claimWithdrawn {
		return ErrNotWritten
	}
	return ErrOutcomeUnknown
}

// result is the result of a claim: the record that holds the key, or an error.
type result struct {
	winner claim.Record
	err    error
}

// bucket is the state of one bucket. Only the goroutine of Run uses the fields other than
// n and queue.
type bucket struct {
	// n is the index of the bucket.
	n     int
	queue chan *pendingClaim
	// local is the local copy of the bucket.
	local claim.Bucket
	// listed says that local has been initialized from a listing of all slices.
	listed bool
	// nextWrite is the earliest time of the next update.
	nextWrite time.Time
	// upToDate says that the last call read local from the platform or wrote it there;
	// it is reset when a write fails.
	upToDate bool
}

// New returns the claim log that is stored at c. Run must run for each bucket for claims
// to be handled.
func New(l *zap.Logger, c *store.Client) *Log {
	out := &Log{log: l, store: c}
	for i := range out.buckets {
		out.buckets[i] = &bucket{n: i, queue: make(chan *pendingClaim, maxQueuedClaims)}
	}
	return out
}

// Claim appends a claim to the log if its key is free and returns the claim that holds
// the key afterwards: r itself, or the one of another process. The error is ErrNotWritten
// if the platform does not answer, does not take the record or the queue is full, or if
// ctx is done before a write included the claim. It is ErrOutcomeUnknown if the platform
// does not answer after a write or ctx is done after one.
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
		return claim.Record{}, p.withdraw()
	}
}

// Run handles the claims on bucket n until ctx is done, and returns nil. Only one
// goroutine may run it for a bucket.
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

// collectBatch returns first and the claims in the queue, at most maxBatchClaims.
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

// commit handles claims until each has a result: it reads the bucket if the local copy is
// out of date, answers the claims on held keys and writes the others. After a lost race
// it starts again at once, after a write of unknown outcome when minWriteInterval has
// passed. If the platform does not answer or does not take the update, all that are left
// fail.
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
		err := l.write(ctx, b, pending)
		if err == nil {
			continue
		}
		b.upToDate = false
		switch {
		case errors.Is(err, store.ErrConflict):
		case isNotWritten(err):
			l.failAll(pending, err)
			return
		default:
			tasks.Pause(ctx, minWriteInterval.After(time.Now()))
		}
	}
}

// isNotWritten reports whether a write that failed with err certainly had no effect.
func isNotWritten(err error) bool {
	return errors.IsAny(err, store.ErrUnavailable, store.ErrConflict, store.ErrTooLarge)
}

// dropCanceled returns the claims whose context is not done. The others are withdrawn.
func dropCanceled(pending []*pendingClaim) []*pendingClaim {
	var remaining []*pendingClaim
	for _, p := range pending {
		if p.ctx.Err() != nil {
			p.done <- result{err: p.withdraw()}
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

// failAll fails claims because the platform does not answer or does not take an update. A
// claim that no write has included is certainly not in the log and gets ErrNotWritten, the
// others ErrOutcomeUnknown.
func (l *Log) failAll(pending []*pendingClaim, err error) {
	l.log.Warn("claims: The platform does not answer; claims have failed.", zap.Int("claims", len(pending)), logs.Err(err))
	for _, p := range pending {
		p.done <- result{err: p.withdraw()}
	}
}

// answerDecided answers the claims whose key is held, by themselves or by another claim,
// according to the local copy. It returns the others, which have to be written.
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

// write writes one update with the first pending claim on each key. The other claims on
// the key are answered once it is written. If the update fails, the local copy does not
// change.
func (l *Log) write(ctx context.Context, b *bucket, pending []*pendingClaim) error {
	seenKeys := make(map[string]bool)
	var added []claim.Record
	// unsent holds the claims that no earlier write has included. withdrawn is set if a
	// caller has withdrawn its claim since dropCanceled.
	var unsent []*pendingClaim
	withdrawn := false
	for _, p := range pending {
		if seenKeys[p.record.Key] || !b.local.CanAppend(p.record) {
			continue
		}
		sentBefore := p.state.Load() == claimSent
		if !p.send() {
			withdrawn = true
			continue
		}
		seenKeys[p.record.Key] = true
		added = append(added, p.record)
		if !sentBefore {
			unsent = append(unsent, p)
		}
	}
	if len(added) == 0 {
		if !assert.That(withdrawn, "claimBatchIsNotEmpty") {
			return store.ErrUnavailable
		}
		return nil
	}
	slice, version, records, body := b.local.EncodeAppend(added)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.Writes.Add(1)
	l.Bytes.Add(int64(len(body)))
	next, err := l.store.Put(call, Kind, sliceName(b.n, slice), version, body)
	if isNotWritten(err) {
		for _, p := range unsent {
			p.state.Store(claimQueued)
		}
	}
	if err != nil {
		return err
	}
	assert.That(next > version, "objectVersionsGrow")
	l.Claims.Add(int64(len(added)))
	b.local.ApplyWritten(slice, next, records)
	return nil
}

// refresh brings the local copy up to date: it reads the last slice of the copy again and
// all slices after it. The first time, it lists all slices before. Its errors are marked
// as store.ErrUnavailable.
func (l *Log) refresh(ctx context.Context, b *bucket) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !b.listed {
		if err := l.list(call, b); err != nil {
			return errors.Mark(err, store.ErrUnavailable)
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
			return errors.Mark(err, store.ErrUnavailable)
		}
		if err := b.local.ApplyRead(slice, o.Version, o.Value); err != nil {
			return errors.Mark(err, store.ErrUnavailable)
		}
		next, version := b.local.NextSlice()
		if version != 0 {
			b.upToDate = true
			return nil
		}
		slice = next
	}
}

// list reads all slices of a bucket in one call. It returns an error if one is missing.
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
