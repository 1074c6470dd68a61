// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
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
	// Writing to memory does not fail; if it did, the specification would go as
	// it is.
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := w.Write(o.Spec); err != nil || w.Close() != nil {
		return nil
	}
	p.kept[name] = pack{o.Revision, buf.Bytes()}
	return buf.Bytes()
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
