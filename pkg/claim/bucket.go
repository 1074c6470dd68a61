// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package claim

import (
	"encoding/json"
	"net/netip"

	"github.com/traildrift/traildrift/pkg/fault"
)

// ErrCorrupt says that a slice does not decode.
const ErrCorrupt fault.Const = "claim: a slice does not decode"

// SliceFull is how many records make a slice full. A full slice never grows, so
// an update carries at most this many records beside its own.
const SliceFull = 64

// Record is one claim.
type Record struct {
	// Key is the hash of the workspace and the caller's key.
	Key string `json:"k"`
	// Generation counts the claims on a key. A later one stands only where
	// the owner of the one before has said that it is closed and did not run.
	Generation int `json:"g,omitempty"`
	// Run names the request that may run.
	Run string `json:"r"`
	// Body is the hash of the request, which the key binds.
	Body string `json:"b,omitempty"`
	// Owner is the entry incarnation that may run it, Link its address.
	Owner string         `json:"o"`
	Link  netip.AddrPort `json:"l"`
	// Value is what a claimed name stands for, such as a session's version.
	Value string `json:"v,omitempty"`
}

// Bucket is a reader's copy of one bucket. The zero value is empty and has
// read nothing.
type Bucket struct {
	// index holds the claim of the highest generation of each key.
	index map[string]Record
	// slices is how many slices were read; the last one may grow.
	slices int
	// tail is the content of the last slice, version its object version.
	tail    []Record
	version int64
}

// Get returns the claim on a key.
func (b *Bucket) Get(key string) (Record, bool) {
	r, ok := b.index[key]
	return r, ok
}

// Next returns the slice that must be read or written next: the last one, or
// a new one with version 0 if the last one is full.
func (b *Bucket) Next() (slice int, version int64) {
	if b.slices == 0 || len(b.tail) >= SliceFull {
		return b.slices, 0
	}
	return b.slices - 1, b.version
}

// Take enters a slice as the platform has it.
func (b *Bucket) Take(slice int, version int64, body []byte) error {
	var records []Record
	if err := json.Unmarshal(body, &records); err != nil {
		return ErrCorrupt
	}
	b.take(slice, version, records)
	return nil
}

func (b *Bucket) take(slice int, version int64, records []Record) {
	if b.index == nil {
		b.index = make(map[string]Record)
	}
	b.slices = slice + 1
	b.tail = records
	b.version = version
	for _, r := range records {
		if old, ok := b.index[r.Key]; !ok || r.Generation >= old.Generation {
			b.index[r.Key] = r
		}
	}
}

// Fits reports whether r may be appended: there is no claim on its key, or the
// one there is of the generation before.
func (b *Bucket) Fits(r Record) bool {
	old, ok := b.index[r.Key]
	if !ok {
		return r.Generation == 0
	}
	return r.Generation == old.Generation+1
}

// Append returns the slice to write with the records added, and its body.
func (b *Bucket) Append(added []Record) (slice int, version int64, records []Record, body []byte) {
	slice, version = b.Next()
	if version != 0 {
		records = append(records, b.tail...)
	}
	records = append(records, added...)
	body, err := json.Marshal(records)
	if err != nil {
		panic("claim: records are always encodable: " + err.Error())
	}
	return slice, version, records, body
}

// Written enters a slice that this writer has written.
func (b *Bucket) Written(slice int, version int64, records []Record) { b.take(slice, version, records) }
