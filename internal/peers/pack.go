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
	// packFrom is the size, in bytes, from which on a specification is sent
	// compressed: a configuration of many routes has over a hundred thousand,
	// and the slowest links of the users' VMs take 10 Mbit/s.
	packFrom = 4 << 10
	// packsKept bounds the compressed specifications that are kept. Almost all
	// of it is the configuration.
	packsKept = 16
)

// packs keeps specifications compressed, as most peers ask for the same. The zero
// value is ready for use.
type packs struct {
	mu   sync.Mutex
	kept map[string]pack
}

type pack struct {
	revision int64
	bytes    []byte
}

// of returns the specification of an object compressed; nil if it is small.
func (p *packs) of(kind string, o *mirror.Object) []byte {
	if len(o.Spec) < packFrom {
		return nil
	}
	name := kind + "/" + o.Name
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.kept[name]; ok && k.revision == o.Revision {
		return k.bytes
	}
	if p.kept == nil || len(p.kept) >= packsKept {
		p.kept = make(map[string]pack)
	}
	text, err := compress(o.Spec)
	if err != nil {
		// It goes as it is.
		return nil
	}
	p.kept[name] = pack{o.Revision, text}
	return text
}

// packsFrom is how many objects a list has that is sent compressed: a starting router takes
// all, and objects are much alike.
const packsFrom = 8

// list returns a whole list of a kind compressed; nil if that fails.
func (p *packs) list(kind string, d mirror.Delta) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.kept[kind]; ok && k.revision == d.Revision {
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
	if p.kept == nil || len(p.kept) >= packsKept {
		p.kept = make(map[string]pack)
	}
	p.kept[kind] = pack{d.Revision, text}
	return text
}

// unpackList returns the changes of a whole list that was compressed.
func unpackList(b []byte) ([]mirror.Change, error) {
	text, err := unpack(b)
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

// unpack returns what was compressed, answerMost bytes at most.
func unpack(b []byte) (json.RawMessage, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	text, err := io.ReadAll(io.LimitReader(r, answerMost+1))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	if len(text) > answerMost {
		return nil, errors.Newf("peers: a specification has more than %d bytes", answerMost)
	}
	return text, nil
}
