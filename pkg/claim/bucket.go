// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package claim

import (
	"encoding/json"
	"net/netip"

	"github.com/traildrift/traildrift/pkg/fault"
)

// ErrCorrupt reports that the body of a slice is not a JSON list of records.
const ErrCorrupt fault.Const = "claim: a slice does not decode"

// FullSliceRecords is the number of records from which on a slice is full; one
// update may take a slice beyond it. A full slice never changes again, so an update
// rewrites fewer than this many records beside those that it adds.
const FullSliceRecords = 64

// Record is one claim.
type Record struct {
	// Key is the hash of the workspace and the key that the caller sent.
	Key string `json:"k"`
	// Generation numbers the claims on a key from 0. A claim of the next
	// generation is written only after the owner of the current one has
	// reported that the request is closed and did not run.
	Generation int `json:"g,omitempty"`
	// Run is the ID of the request that may run.
	Run string `json:"r"`
	// BodyHash is the hash of the request that the key is bound to; empty for
	// a name that is not bound to a request.
	BodyHash string `json:"b,omitempty"`
	// Owner is the incarnation of the entry that may run the request, Link
	// the address at which other processes connect to it.
	Owner string         `json:"o"`
	Link  netip.AddrPort `json:"l"`
	// Value is what a claimed name stands for, such as the version of a
	// session; empty for a key.
	Value string `json:"v,omitempty"`
}

// Bucket is a local copy of one bucket of the log, as last read from or
// written to the platform. The zero value is the copy of a bucket that has not
// been read. It is not safe for concurrent use.
type Bucket struct {
	// index holds the claim of the highest generation of each key.
	index map[string]Record
	// sliceCount is the number of slices in the copy; only the last may grow.
	sliceCount int
	// tail holds the records of the last slice, tailVersion the version of its
	// object on the platform.
	tail        []Record
	tailVersion int64
}

// Get returns the claim on a key and whether the copy holds one.
func (b *Bucket) Get(key string) (Record, bool) {
	r, ok := b.index[key]
	return r, ok
}

// NextSlice returns the index and the object version of the slice to read or
// write next: the last one, or a new one with version 0 if the last one is full
// or there is none.
func (b *Bucket) NextSlice() (slice int, version int64) {
	if b.sliceCount == 0 || len(b.tail) >= FullSliceRecords {
		return b.sliceCount, 0
	}
	return b.sliceCount - 1, b.tailVersion
}

// ApplyRead updates the copy with a slice that was read from the platform, which
// becomes the last one. It returns ErrCorrupt, and leaves the copy unchanged,
// if body does not decode.
func (b *Bucket) ApplyRead(slice int, version int64, body []byte) error {
	var records []Record
	if err := json.Unmarshal(body, &records); err != nil {
		return ErrCorrupt
	}
	b.apply(slice, version, records)
	return nil
}

func (b *Bucket) apply(slice int, version int64, records []Record) {
	if b.index == nil {
		b.index = make(map[string]Record)
	}
	b.sliceCount = slice + 1
	b.tail = records
	b.tailVersion = version
	for _, r := range records {
		if old, ok := b.index[r.Key]; !ok || r.Generation >= old.Generation {
			b.index[r.Key] = r
		}
	}
}

// CanAppend reports whether r may be appended: its key has no claim and r has
// generation 0, or the claim on its key has the generation before that of r.
func (b *Bucket) CanAppend(r Record) bool {
	old, ok := b.index[r.Key]
	if !ok {
		return r.Generation == 0
	}
	return r.Generation == old.Generation+1
}

// EncodeAppend returns the update that appends added to the log: the index of
// the slice, the object version that the update is conditional on, the records
// of the slice after it, and their encoding. The copy does not change until
// ApplyWritten is called.
func (b *Bucket) EncodeAppend(added []Record) (slice int, version int64, records []Record, body []byte) {
	slice, version = b.NextSlice()
	if version != 0 {
		records = append(records, b.tail...)
	}
	records = append(records, added...)
	body, err := json.Marshal(records)
	if err != nil {
		panic("claim: encode records: " + err.Error())
	}
	return slice, version, records, body
}

// ApplyWritten updates the copy with a slice that this process has written, under
// the object version that the platform returned.
func (b *Bucket) ApplyWritten(slice int, version int64, records []Record) {
	b.apply(slice, version, records)
}
