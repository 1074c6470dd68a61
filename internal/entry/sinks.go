// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/stream"
)

// sinkShards is the number of shards, each with a lock of its own, to reduce contention.
const sinkShards = 16

// sinkShard holds the buffers of the runs whose ID hashes to it.
type sinkShard struct {
	mu sync.Mutex
	m  map[wire.RunKey]*stream.Buffer
}

// sinks maps each attempt of a run in progress to the buffer that receives its chunks.
type sinks struct {
	shards [sinkShards]sinkShard
}

// invariantOneSink is the name of the invariant that a run has one sink.
const invariantOneSink = "runHasOneSink"

func (s *sinks) add(key wire.RunKey, b *stream.Buffer) {
	sh := s.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.m == nil {
		sh.m = make(map[wire.RunKey]*stream.Buffer)
	}
	_, taken := sh.m[key]
	assert.That(!taken, invariantOneSink, zap.String("run", key.RunID))
	sh.m[key] = b
}

func (s *sinks) remove(key wire.RunKey) {
	sh := s.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.m, key)
}

func (s *sinks) get(key wire.RunKey) *stream.Buffer {
	sh := s.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.m[key]
}

func (s *sinks) shard(key wire.RunKey) *sinkShard {
	return &s.shards[xxhash.Sum64String(key.RunID)%sinkShards]
}
