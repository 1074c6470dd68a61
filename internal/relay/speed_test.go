// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Times to the head include waits for other prompts. Here they are as just after all routers were
// killed under load: four heads in five wait, for up to ten times the reading time.
func TestReadSpeedExcludesWaits(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	const perToken = 80e-6
	var s readSpeed
	for i := range 400 {
		tokens := 1000 + draw.IntN(4000)
		head := perToken * float64(tokens)
		if draw.Float64() < 0.8 {
			head *= 1 + 9*draw.Float64()
		}
		s.add(tokens, head, true)
		if i < 40 {
			continue
		}
		if got := s.readTime(10_000); got < 0.7*perToken*10_000 || got > 1.6*perToken*10_000 {
			t.Fatalf("10,000 tokens after %d heads: got %v s, want about %v", i+1, got, perToken*10_000)
		}
	}
}

func TestReadSpeedRecoversFromWrongStart(t *testing.T) {
	var s readSpeed
	s.add(1000, 5, true)
	for range 5 {
		s.add(1000, 0.1, true)
	}
	if got := s.readTime(1000); got > 0.2 {
		t.Errorf("after one head of 5 s and five of 0.1 s: got %v s, want about 0.1", got)
	}
}

// If an endpoint held a prefix that it was not known to hold, the prompt was read sooner than its
// size suggests. Such heads must count only while there are no others.
func TestReadSpeedPrefersKnown(t *testing.T) {
	var s readSpeed
	for range 50 {
		s.add(10_000, 0.1, false)
	}
	if got := s.readTime(10_000); math.Abs(got-0.1) > 0.01 {
		t.Errorf("no known value: got %v s, want 0.1", got)
	}
	for range minKnownHeads {
		s.add(1000, 0.08, true)
	}
	if got := s.readTime(10_000); math.Abs(got-0.8) > 0.05 {
		t.Errorf("some known values: got %v s, want 0.8", got)
	}
	var none *readSpeed
	if got := none.readTime(5); got != 0 {
		t.Errorf("nil speed: got %v, want 0", got)
	}
	s.add(minSpeedTokens-1, 9, true)
	if got := s.readTime(10_000); math.Abs(got-0.8) > 0.05 {
		t.Errorf("after a short prompt: got %v s, want 0.8", got)
	}
}

func TestAheadRatio(t *testing.T) {
	var none *aheadRatio
	if got := none.ratio(); got != 1 {
		t.Errorf("no data: got %v, want 1", got)
	}
	var a aheadRatio
	for range 100 {
		a.add(0.1, 0.5)
	}
	if got := a.ratio(); math.Abs(got-0.2) > 1e-9 {
		t.Errorf("waits of a fifth of the backlog: got %v, want 0.2", got)
	}
	a.add(100, 0.5)
	if got := a.ratio(); got != 1 {
		t.Errorf("after a long wait: got %v, want at most 1", got)
	}
}

func TestHomeHitRate(t *testing.T) {
	var f homeHitRate
	if got := f.chance(); got != homeHitPrior {
		t.Errorf("no data: got %v, want %v", got, homeHitPrior)
	}
	for range 100 {
		f.add(false)
	}
	if got := f.chance(); got > minHomeChance {
		t.Errorf("a fleet that was just started: got %v, want under %v", got, minHomeChance)
	}
	for range 100 {
		f.add(true)
	}
	if got := f.chance(); got < 0.9 {
		t.Errorf("a fleet that was killed: got %v, want about 1", got)
	}
}

func TestRateMeter(t *testing.T) {
	var m rateMeter
	now := time.Unix(0, 0)
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		m.add(now)
	}
	if got := m.perSecond(now); math.Abs(got-10) > 0.5 {
		t.Errorf("ten events a second: got %v", got)
	}
	if got := m.perSecond(now.Add(6 * meterTimeConstant)); got > 0.1 {
		t.Errorf("after %v without events: got %v, want nearly 0", 6*meterTimeConstant, got)
	}
	var none *rateMeter
	if got := none.perSecond(now); got != 0 {
		t.Errorf("nil meter: got %v, want 0", got)
	}
}
