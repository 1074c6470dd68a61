// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// frameCodec is jsonrpc2's varint framing with a limit on the size of a frame, so
// that a peer cannot make this process allocate without bound.
type frameCodec struct {
	jsonrpc2.VarintObjectCodec
	limit uint64
}

// ReadObject reads one frame. It returns ErrFrame for one over the limit.
func (f frameCodec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > f.limit {
		return ErrFrameTooLarge
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}
