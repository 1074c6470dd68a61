// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package stream

import (
	"bytes"
	"context"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/traildrift/traildrift/internal/draws"
	"github.com/traildrift/traildrift/pkg/fault"
)

func TestMain(m *testing.M) {
	draws.FixSeed()
	os.Exit(m.Run())
}

// TestAppendAnyOrder appends the chunks of an answer overlapping, out of order,
// with one duplicated, and mixed with chunks of another attempt. The buffer must
// return the complete answer.
func TestAppendAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "answer")
		b := New(1000)
		b.SelectAttempt(2)
		type chunk struct{ from, to int }
		var chunks []chunk
		for at := 0; at < len(want); {
			to := min(len(want), at+rapid.IntRange(1, 20).Draw(t, "size"))
			chunks = append(chunks, chunk{max(0, at-rapid.IntRange(0, 3).Draw(t, "overlap")), to})
			at = to
		}
		chunks = append(chunks, chunks[rapid.IntRange(0, len(chunks)-1).Draw(t, "duplicated")])
		for _, c := range rapid.Permutation(chunks).Draw(t, "order") {
			if err := b.Append(1, c.from, bytes.Repeat([]byte{0xee}, c.to-c.from)); err != nil {
				t.Fatal(err)
			}
			if err := b.Append(2, c.from, want[c.from:c.to]); err != nil {
				t.Fatal(err)
			}
		}
		b.Finish(len(want), nil)
		_, got, end, err := b.ReadAll(context.Background())
		if err != nil || end.Err != nil || !bytes.Equal(got, want) {
			t.Errorf("got %v %v %v, want %v", got, end, err, want)
		}
	})
}

// TestShortAfterLong checks that a short pending chunk does not replace a longer
// one at the same offset, which would lose bytes.
func TestShortAfterLong(t *testing.T) {
	b := New(100)
	for _, c := range []struct {
		offset int
		data   string
	}{{2, "cd"}, {2, "c"}, {0, "ab"}} {
		_ = b.Append(0, c.offset, []byte(c.data))
	}
	if got, want := string(b.Bytes()), "abcd"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestFinish(t *testing.T) {
	tests := []struct {
		name   string
		data   string
		length int
		err    *fault.Error
		want   fault.Kind
	}{
		{"whole", "abc", 3, nil, ""},
		{"short", "ab", 3, nil, fault.NotWhole},
		{"failed", "ab", 2, fault.New(fault.EndpointLost, fault.MayHaveRun, "lost"), fault.EndpointLost},
	}
	for _, tt := range tests {
		b := New(100)
		_ = b.Append(0, 0, []byte(tt.data))
		if !b.Finish(tt.length, tt.err) {
			t.Errorf("%s: the first Finish got false, want true", tt.name)
		}
		if b.Finish(0, fault.New(fault.Internal, fault.Ran, "second")) {
			t.Errorf("%s: a second Finish got true, want false", tt.name)
		}
		got := fault.Kind("")
		if e := b.Ended().Err; e != nil {
			got = e.Kind
		}
		if got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

func TestOneAttemptOnly(t *testing.T) {
	b := New(100)
	b.SelectAttempt(1)
	_ = b.Append(1, 0, []byte("first"))
	if b.SelectAttempt(2) {
		t.Error("Begin of another attempt after a byte was taken: got true, want false")
	}
}

func TestLimit(t *testing.T) {
	b := New(4)
	if got := b.Append(0, 0, []byte("12345")); got != fault.TooLarge {
		t.Errorf("got %v, want %v", got, fault.TooLarge)
	}
}

// TestLimitWakesReaders fills a gap before a chunk that exceeds the limit, while a reader waits. The
// reader must get the bytes that fit. Guards against a reader that sleeps until the next change,
// which need not come.
func TestLimitWakesReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(4)
		_ = b.Append(0, 2, []byte("345"))
		read := make(chan string, 1)
		go func() {
			_, p, _, _ := b.Next(t.Context(), 0)
			read <- string(p)
		}()
		synctest.Wait()
		if got := b.Append(0, 0, []byte("12")); got != fault.TooLarge {
			t.Errorf("got %v, want %v", got, fault.TooLarge)
		}
		synctest.Wait()
		select {
		case got := <-read:
			if got != "12" {
				t.Errorf("read: got %q, want %q", got, "12")
			}
		default:
			t.Error("read: got nothing, want the bytes that fit")
			b.Finish(0, nil)
		}
	})
}
