// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package link

import (
	"context"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/stream"
)

// maxChunkBytes bounds the data of one chunk, in bytes.
const maxChunkBytes = 256 << 10

// SendAnswer sends an answer over a link in chunks, from an offset on, until it
// ends, the link breaks or ctx is done.
func SendAnswer(ctx context.Context, c *Conn, key wire.RunKey, b *stream.Buffer, offset int) {
	var sent stream.Head
	for {
		head, p, end, err := b.Next(ctx, offset)
		if err != nil {
			return
		}
		for len(p) > 0 {
			n := min(len(p), maxChunkBytes)
			chunk := wire.Chunk{Stamp: c.local.stamp(), Key: key, Offset: offset, Data: p[:n]}
			if head != sent {
				chunk.Head = &head
				sent = head
			}
			if c.Notify(ctx, wire.MethodChunk, chunk) != nil {
				return
			}
			offset += n
			p = p[n:]
		}
		if end != nil {
			return
		}
	}
}
