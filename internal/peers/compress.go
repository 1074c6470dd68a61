// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/pkg/epoch"
)

const (
	// minCompressedSpec is the minimum length, in bytes, of a specification that is sent
	// compressed. A configuration with many routes has over a hundred thousand bytes, and the
	// slowest links of VMs have 10 Mbit/s.
	minCompressedSpec = 4 << 10
	// cacheCapacity is the maximum number of entries of a compressionCache, which is emptied when
	// it is full. Nearly all of their bytes are the configuration's.
	cacheCapacity = 16
)

// compressionCache holds compressed specifications and lists, as most peers pull the same ones. The
// zero value is ready for use. It is safe for concurrent use.
type compressionCache struct {
	mu sync.Mutex
	// entries are by kind for a list, and by kind and name, with a slash between, for a specification.
	entries map[string]cacheEntry
}

// cacheEntry holds the compressed data of an object or list as of a revision.
type cacheEntry struct {
	revision epoch.Revision
	bytes    []byte
}

// spec returns the compressed specification of an object; nil if it is short or cannot be
// compressed.
func (p *compressionCache) spec(kind string, o *mirror.Object) []byte {
	if len(o.Spec) < minCompressedSpec {
		return nil
	}
	name := kind + "/" + o.Name
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.entries[name]; ok && k.revision == o.Revision {
		return k.bytes
	}
	if p.entries == nil || len(p.entries) >= cacheCapacity {
		p.entries = make(map[string]cacheEntry)
	}
	text, err := compress(o.Spec)
	if err != nil {
		// The specification is sent uncompressed.
		return nil
	}
	p.entries[name] = cacheEntry{o.Revision, text}
	return text
}

// minCompressedList is the minimum number of objects of a whole list that is sent compressed. A
// starting router pulls all lists, and objects resemble each other.
const minCompressedList = 8

// list returns the compressed whole list of a kind; nil if it cannot be encoded.
func (p *compressionCache) list(kind string, d mirror.Delta) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.entries[kind]; ok && k.revision == d.Revision {
		return k.bytes
	}
	objects := make([]mirror.Object, 0, len(d.Changes))
	for _, c := range d.Changes {
		objects = append(objects, numbered(c.Object))
	}
	// Sorting places similar objects next to each other, which improves the compression.
	slices.SortFunc(objects, func(a, b mirror.Object) int { return cmp.Compare(a.Name, b.Name) })
	text, err := json.Marshal(objects)
	if err != nil {
		return nil
	}
	if text, err = compress(text); err != nil {
		return nil
	}
	if p.entries == nil || len(p.entries) >= cacheCapacity {
		p.entries = make(map[string]cacheEntry)
	}
	p.entries[kind] = cacheEntry{d.Revision, text}
	return text
}

// decompressList returns the changes of a whole list that compressionCache.list compressed. Their revisions
// are numbers alone.
func decompressList(b []byte) ([]mirror.Change, []elems.Bad, error) {
	text, err := decompress(b)
	if err != nil {
		return nil, nil, err
	}
	var objects elems.List[mirror.Object]
	if err := elems.Unmarshal(text, &objects); err != nil {
		return nil, nil, errors.Wrap(err, "peers: decode compressed list")
	}
	list := make([]mirror.Change, 0, len(objects.Items))
	for _, o := range objects.Items {
		list = append(list, mirror.Change{Object: o})
	}
	return list, objects.Bad, nil
}

// decompressSpec returns the specification that was sent compressed, or elems.Unreadable.
func decompressSpec(b []byte) json.RawMessage {
	text, err := decompress(b)
	if err == nil {
		err = elems.Unmarshal(text, new(json.RawMessage))
	}
	if err != nil {
		return elems.Unreadable(err)
	}
	return elems.Bound(text, elems.MaxDepth)
}

// compress compresses text by gzip.
func compress(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "peers: create compressor")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "peers: compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "peers: finish compression")
	}
	return buf.Bytes(), nil
}

// decompress returns what was compressed by compress. It fails if that has more than
// maxResponseBytes bytes.
func decompress(b []byte) (json.RawMessage, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "peers: open compressed data")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "peers: decompress")
	}
	if len(text) > maxResponseBytes {
		return nil, errors.Newf("peers: decompressed data has more than %d bytes", maxResponseBytes)
	}
	return text, nil
}
