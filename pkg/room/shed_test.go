// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package room

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against refusals beside free places, of requests that may have run and of late ones, and against a
// fraction that falls while answers take longer.
func TestShed(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		aim := time.Duration(rapid.Int64Range(50, 5000).Draw(t, "aim")) * time.Millisecond
		r := Request{Ticket: &Ticket{AimAt: now.Add(aim)}, Arrived: now, Aim: aim, End: now.Add(10 * aim)}
		c := Capacity{Eligible: 2, Open: 1, Wait: time.Millisecond}
		sojourn := time.Duration(rapid.Float64Range(0, 3).Draw(t, "sojourn") * float64(aim))
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		shed := Shed(now, &r, &c, sojourn, draw)
		if shed && float64(sojourn) <= shedFrom*float64(aim) {
			t.Fatalf("answers within %v of the aim: got shed, want sent", shedFrom)
		}
		if shed && !Shed(now, &r, &c, sojourn+aim/10, draw) {
			t.Fatal("answers that take longer: got sent, want shed as before")
		}
		if draw >= maxShed && shed {
			t.Fatalf("draw %v: got shed, want at most a fraction of %v", draw, maxShed)
		}
		free, ran, late, gone := c, r, r, c
		free.Wait, gone.Eligible = 0, 0
		ran.MayHaveRun = true
		late.Ticket = &Ticket{AimAt: now.Add(-time.Millisecond)}
		if Shed(now, &r, &free, 10*aim, 0) || Shed(now, &ran, &c, 10*aim, 0) || Shed(now, &late, &c, 10*aim, 0) || Shed(now, &r, &gone, 10*aim, 0) {
			t.Fatal("a free place, a request that may have run, a late one or no endpoint: got shed, want sent")
		}
		full := c
		full.Open, full.Wait = 0, 0
		if !Shed(now, &r, &full, 10*aim, 0) {
			t.Fatal("full endpoints: got sent, want shed")
		}
	})
}

// Guards against an estimate that holds on when answers cease, and one that does not follow a queue that grows
// within a few answers.
func TestSojourn(t *testing.T) {
	var s Sojourn
	now := time.Unix(1000, 0)
	if got := s.Mean(now); got != 0 {
		t.Errorf("without answers: got %v, want 0", got)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		s.Add(now, 30*time.Millisecond)
	}
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		s.Add(now, 150*time.Millisecond)
	}
	if got := s.Mean(now); got < 120*time.Millisecond || got > 150*time.Millisecond {
		t.Errorf("after six answers of 150 ms: got %v, want 120 ms to 150 ms", got)
	}
	if got := s.Mean(now.Add(sojournTTL + time.Millisecond)); got != 0 {
		t.Errorf("after the answers have ceased: got %v, want 0", got)
	}
}
