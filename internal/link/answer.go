// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package link

import (
	"context"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/stream"
)

// maxChunkBytes is the maximum length of the data of one chunk.
const maxChunkBytes = 256 << 10

// SendAnswer sends the answer in b over c as wire.Chunk notifications with the
// given key, from a byte offset on and as the bytes arrive. The head of an answer
// without bytes is sent in an empty chunk. It returns when the answer has ended
// and all of it is sent, when the link breaks or when ctx is done. The receiver
// gets the end of the answer with the reply to its call.
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
			if head != sent {
				_ = c.Notify(ctx, wire.MethodChunk, wire.Chunk{Stamp: c.local.stamp(), Key: key, Offset: offset, Head: &head})
			}
			return
		}
	}
}
