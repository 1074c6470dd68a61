// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import "time"

// maxSound is the number of parts from which on a new generation of a soundLog begins. Two
// generations take 0.6 MB.
const maxSound = 4096

// soundLog holds the times at which the latest whole answers to requests with a part began. It
// forgets those that were recorded earliest. The zero soundLog is empty.
type soundLog struct {
	current, previous map[Fingerprint]time.Time
	// turnedAt is when the current generation began.
	turnedAt time.Time
}

// add records a whole answer that began at a time.
func (l *soundLog) add(now time.Time, p Fingerprint, began time.Time) {
	if l.current == nil || len(l.current) >= maxSound || now.Sub(l.turnedAt) > suspectTTL {
		l.previous, l.current, l.turnedAt = l.current, make(map[Fingerprint]time.Time), now
	}
	if began.After(l.at(p)) {
		l.current[p] = began
	}
}

// at returns when the latest whole answer began; zero for none.
func (l *soundLog) at(p Fingerprint) time.Time {
	if at, ok := l.current[p]; ok {
		return at
	}
	return l.previous[p]
}

// answerCounts counts answers to requests with a part. It forgets those of parts that were counted earliest. The zero
// answerCounts has none.
type answerCounts struct {
	current, previous map[Fingerprint]int
	// turnedAt is when the current generation began.
	turnedAt time.Time
}

// add adds n, which may be negative, to the count of a part.
func (c *answerCounts) add(now time.Time, p Fingerprint, n int) {
	if c.current == nil || len(c.current) >= maxSound || now.Sub(c.turnedAt) > suspectTTL {
		c.previous, c.current, c.turnedAt = c.current, make(map[Fingerprint]int), now
	}
	c.current[p] = c.of(p) + n
}

// of returns the count of a part.
func (c *answerCounts) of(p Fingerprint) int {
	if n, ok := c.current[p]; ok {
		return n
	}
	return c.previous[p]
}
