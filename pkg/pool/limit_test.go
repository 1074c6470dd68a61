// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"testing"
	"time"
)

// A limit holds for as long as answers name it: an answer to an attempt that was sent before the
// last word of it is no evidence that it has ended.
func TestLimitEndsByLaterAttempt(t *testing.T) {
	at := time.Unix(1000, 0)
	p := &Endpoint{}
	if !p.Notes(Notice{Limit: Limited, PerSecond: 2.5}, at, at.Add(time.Second)) {
		t.Error("first word: got no change")
	}
	for _, c := range []struct {
		name    string
		word    LimitWord
		sentAt  time.Time
		changed bool
	}{
		{"sent before the word", Unlimited, at.Add(500 * time.Millisecond), false},
		{"no word", NoWord, at.Add(2 * time.Second), false},
		{"sent after the word", Unlimited, at.Add(2 * time.Second), true},
		{"again", Unlimited, at.Add(2 * time.Second), false},
	} {
		if got := p.Notes(Notice{Limit: c.word}, c.sentAt, at.Add(3*time.Second)); got != c.changed {
			t.Errorf("%s: changed: got %v, want %v", c.name, got, c.changed)
		}
	}
	if _, ok := p.Limit(); ok {
		t.Error("limit: got one, want none")
	}
}
