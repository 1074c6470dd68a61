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

// frameCodec reads and writes JSON objects, each preceded by its length as an
// unsigned varint. It bounds the length of frames that it reads, so that a peer
// cannot make this process allocate without limit.
type frameCodec struct {
	jsonrpc2.VarintObjectCodec
	// limit returns the maximum length of a frame that is read, in bytes.
	limit func() uint64
}

// ReadObject reads one frame and decodes it into v. It returns ErrFrameTooLarge,
// without reading the body, if the frame exceeds the limit.
func (f frameCodec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > f.limit() {
		return ErrFrameTooLarge
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}
