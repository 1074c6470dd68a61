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
	// ErrDoubt says that the claim may be in the log, now or later.
	ErrDoubt fault.Const = "claims: the claim may have been taken"
)

const (
	// Buckets is how many buckets there are; it must be the same in every
	// process of a fleet.
	Buckets = 4
	// writeGap is the least time between two updates of a bucket, so that all
	// buckets together make at most 200 writes a second. The first claim after
	// a quiet time does not wait.
	writeGap = config.Span(20 * time.Millisecond)
	// opsMost bounds the claims that wait for one bucket.
	opsMost = 4096
	// batchMost bounds the claims of one update.
	batchMost = 256
	// callWithin bounds one call to the platform.
	callWithin = 2 * time.Second
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

// op is one claim that waits for the log.
type op struct {
	ctx    context.Context
	record claim.Record
	// tried says that a write with the record was sent and not refused: from
	// then on its absence proves nothing while that write may be in flight.
	tried bool
	done  chan result
}

type result struct {
	held claim.Record
	err  error
}

type bucket struct {
	n   int
	ops chan *op
	// read is only used by the bucket's goroutine.
	read claim.Bucket
	// listed says that the bucket was read once as a whole.
	listed bool
	// nextWrite is when the bucket may be updated again.
	nextWrite time.Time
	// fresh says that read was in step with the platform at the last call.
	fresh bool
}

// New returns a log; Run must be started before Claim.
func New(l *zap.Logger, c *store.Client) *Log {
	out := &Log{log: l, store: c}
	for i := range out.buckets {
		out.buckets[i] = &bucket{n: i, ops: make(chan *op, opsMost)}
	}
	return out
}

// Claim enters a claim and returns the one that stands for its key: the
// caller's own if it won. The error is ErrNotWritten or ErrDoubt.
func (l *Log) Claim(ctx context.Context, r claim.Record) (claim.Record, error) {
	o := &op{ctx: ctx, record: r, done: make(chan result, 1)}
	select {
	case l.buckets[BucketOf(r.Key)].ops <- o:
	default:
		return claim.Record{}, ErrNotWritten
	}
	select {
	case res := <-o.done:
		return res.held, res.err
	case <-ctx.Done():
		return claim.Record{}, ErrDoubt
	}
}

// Run serves one bucket until ctx is done.
func (l *Log) Run(ctx context.Context, n int) error {
	b := l.buckets[n]
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-b.ops:
			tasks.Pause(ctx, b.nextWrite)
			l.commit(ctx, b, b.gather(o))
			b.nextWrite = writeGap.After(time.Now())
		}
	}
}

// gather takes everything that waits, up to the size of a batch.
func (b *bucket) gather(first *op) []*op {
	ops := []*op{first}
	for len(ops) < batchMost {
		select {
		case o := <-b.ops:
			ops = append(ops, o)
		default:
			return ops
		}
	}
	return ops
}

// commit settles every op: won, held by another, not written or in doubt.
func (l *Log) commit(ctx context.Context, b *bucket, ops []*op) {
	for len(ops) > 0 {
		ops = giveUp(ops)
		if !b.fresh {
			if err := l.refresh(ctx, b); err != nil {
				l.fail(ops, err)
				return
			}
		}
		ops = b.settle(ops)
		if len(ops) == 0 {
			return
		}
		if err := l.write(ctx, b, ops); err != nil {
			b.fresh = false
			if errors.Is(err, store.ErrUnavailable) {
				l.fail(ops, err)
				return
			}
		}
	}
}

// giveUp drops the ops whose caller waits no more.
func giveUp(ops []*op) []*op {
	var left []*op
	for _, o := range ops {
		if o.ctx.Err() != nil {
			o.done <- result{err: ErrDoubt}
			continue
		}
		left = append(left, o)
	}
	return left
}

// fail answers ops while the platform does not answer. A claim that no write
// has carried is certainly not in the log.
func (l *Log) fail(ops []*op, err error) {
	l.log.Warn("claims: The platform does not answer.", zap.Int("claims", len(ops)), logs.Err(err))
	for _, o := range ops {
		if o.tried {
			o.done <- result{err: ErrDoubt}
		} else {
			o.done <- result{err: ErrNotWritten}
		}
	}
}

// settle answers the ops whose key has a claim, the own one or another's, and
// returns those that still have to be written. Of several ops on one key only
// the first is written in a batch.
func (b *bucket) settle(ops []*op) []*op {
	var left []*op
	for _, o := range ops {
		held, ok := b.read.Get(o.record.Key)
		if ok && !b.read.CanAppend(o.record) {
			o.done <- result{held: held}
			continue
		}
		left = append(left, o)
	}
	return left
}

// write sends one update with the first op of each key.
func (l *Log) write(ctx context.Context, b *bucket, ops []*op) error {
	seen := make(map[string]bool)
	var added []claim.Record
	var carried []*op
	for _, o := range ops {
		if !seen[o.record.Key] && b.read.CanAppend(o.record) {
			seen[o.record.Key] = true
			added = append(added, o.record)
			carried = append(carried, o)
		}
	}
	if !assert.That(len(added) > 0, "claimBatchIsNotEmpty") {
		return store.ErrUnavailable
	}
	slice, version, records, body := b.read.EncodeAppend(added)
	call, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	l.Writes.Add(1)
	l.Bytes.Add(int64(len(body)))
	next, err := l.store.Put(call, Kind, sliceName(b.n, slice), version, body)
	for _, o := range carried {
		o.tried = o.tried || !errors.Is(err, store.ErrUnavailable)
	}
	if err != nil {
		return err
	}
	assert.That(next > version, "objectVersionsGrow")
	l.Claims.Add(int64(len(added)))
	b.read.ApplyWritten(slice, next, records)
	return nil
}

// refresh reads the last known slice again and every slice after it; the first
// time, all slices in one call.
func (l *Log) refresh(ctx context.Context, b *bucket) error {
	call, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	if !b.listed {
		if err := l.list(call, b); err != nil {
			return errors.Mark(err, store.ErrUnavailable)
		}
	}
	slice, _ := b.read.NextSlice()
	for {
		l.Reads.Add(1)
		o, err := l.store.Get(call, Kind, sliceName(b.n, slice))
		if errors.Is(err, store.ErrNotFound) {
			b.fresh = true
			return nil
		}
		if err != nil {
			return errors.Mark(err, store.ErrUnavailable)
		}
		if err := b.read.ApplyRead(slice, o.Version, o.Value); err != nil {
			return errors.Mark(err, store.ErrUnavailable)
		}
		next, version := b.read.NextSlice()
		if version != 0 {
			b.fresh = true
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
		if err := b.read.ApplyRead(i, o.Version, o.Value); err != nil {
			return err
		}
	}
	b.listed = true
	return nil
}

func sliceName(bucket, slice int) string { return fmt.Sprintf("%02d-%08d", bucket, slice) }
