// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"fmt"
	"strings"
	"testing"
)

// piece returns the server-sent event with this ID.
func piece(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func TestSplitReturnsCompleteNewEvents(t *testing.T) {
	s := eventSplitter{lastID: "2"}
	var got strings.Builder
	text := piece(1) + piece(2) + piece(3) + ": comment\n\n" + piece(3) + piece(4) + "id: 5\ndata: cut"
	for len(text) > 0 {
		n := min(7, len(text))
		got.Write(s.split([]byte(text[:n])))
		text = text[n:]
	}
	if want := piece(3) + ": comment\n\n" + piece(4); got.String() != want {
		t.Errorf("events: got %q, want %q", got.String(), want)
	}
	if s.lastID != "4" || s.pendingBytes() != len("id: 5\ndata: cut") {
		t.Errorf("got last ID %q and %d pending bytes, want 4 and %d", s.lastID, s.pendingBytes(), len("id: 5\ndata: cut"))
	}
}

// The events that split returns are complete and do not depend on how a stream is cut into reads.
func FuzzEvents(f *testing.F) {
	f.Add(piece(1)+piece(2), 3)
	f.Add("data: a\r\n\r\nid: x\n\n\n\n", 1)
	f.Add("id: 9\n\nid: 10\n\nid: 9\n\n", 100)
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(1, size%64)
		var whole, cut eventSplitter
		want := string(whole.split([]byte(text)))
		var got strings.Builder
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			got.Write(cut.split([]byte(rest[:n])))
			rest = rest[n:]
		}
		if got.String() != want {
			t.Errorf("in reads of %d: got %q, want %q", size, got.String(), want)
		}
		if want != "" && !strings.HasSuffix(want, "\n\n") && !strings.HasSuffix(want, "\n\r\n") {
			t.Errorf("incomplete event: %q", want)
		}
		if len(want)+whole.pendingBytes() > len(text) {
			t.Errorf("got %d bytes and %d pending of %d", len(want), whole.pendingBytes(), len(text))
		}
	})
}

// The time to split a stream must grow linearly with its length, for each kind of line end.
func BenchmarkEvents(b *testing.B) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		text := []byte(strings.Repeat("id: 1"+end, 1<<15))
		b.Run(fmt.Sprintf("%q", end), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				var s eventSplitter
				s.split(text)
			}
		})
	}
}
