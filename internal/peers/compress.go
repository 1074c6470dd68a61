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

	"github.com/traildrift/traildrift/internal/mirror"
)

const (
	// minCompressedSpec is the size, in bytes, from which on a specification is sent
	// compressed: a configuration of many routes has over a hundred thousand,
	// and the slowest links of the users' VMs take 10 Mbit/s.
	minCompressedSpec = 4 << 10
	// cacheCapacity bounds the compressed specifications that are kept. Almost all
	// of it is the configuration.
	cacheCapacity = 16
)

// compressionCache keeps specifications compressed, as most peers ask for the same. The zero
// value is ready for use.
type compressionCache struct {
	mu      sync.Mutex
	entries map[string]cacheEntry
}

type cacheEntry struct {
	revision int64
	bytes    []byte
}

// spec returns the specification spec an object compressed; nil if it is small.
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
		// It goes as it is.
		return nil
	}
	p.entries[name] = cacheEntry{o.Revision, text}
	return text
}

// minCompressedList is how many objects a list has that is sent compressed: a starting router takes
// all, and objects are much alike.
const minCompressedList = 8

// list returns a whole list of a kind compressed; nil if that fails.
func (p *compressionCache) list(kind string, d mirror.Delta) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.entries[kind]; ok && k.revision == d.Revision {
		return k.bytes
	}
	objects := make([]mirror.Object, 0, len(d.Changes))
	for _, c := range d.Changes {
		objects = append(objects, c.Object)
	}
	// What is alike stands together.
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

// decompressList returns the changes of a whole list that was compressed.
func decompressList(b []byte) ([]mirror.Change, error) {
	text, err := decompress(b)
	if err != nil {
		return nil, err
	}
	var objects []mirror.Object
	if err := json.Unmarshal(text, &objects); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	list := make([]mirror.Change, 0, len(objects))
	for _, o := range objects {
		list = append(list, mirror.Change{Object: o})
	}
	return list, nil
}

// compress returns a text compressed.
func compress(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return buf.Bytes(), nil
}

// decompress returns what was compressed, answerMost bytes at most.
func decompress(b []byte) (json.RawMessage, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	if len(text) > maxResponseBytes {
		return nil, errors.Newf("peers: a specification has more than %d bytes", maxResponseBytes)
	}
	return text, nil
}
