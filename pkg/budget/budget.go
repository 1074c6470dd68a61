// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package budget implements a retry budget: it keeps the extra attempts of a service within
// a ratio of its requests over a sliding window. It reads no clock and takes no lock.
package budget

import "time"

// bucketsPerWindow is the number of buckets in the length of a window. One more bucket is
// counted, so that no span of the window's length holds more extra attempts than allowed.
const bucketsPerWindow = 20

// Window counts requests and extra attempts over a sliding window. The zero value allows no
// extra attempts; call SetLimits before any other method. A Window is not safe for
// concurrent use.
type Window struct {
	// Ratio is the number of extra attempts that each request adds to the budget.
	Ratio float64
	// Slack is the number of extra attempts in a window that are allowed in addition.
	Slack float64
	// BucketLength is the time that one bucket covers: the window's length over 20. It is
	// positive.
	BucketLength time.Duration
	// bucketStart is when the newest bucket began; zero before the first use.
	bucketStart time.Time
	// ring holds the buckets, newest is the index of the newest one. requests and extra are
	// the sums over the ring.
	ring            [bucketsPerWindow + 1]bucket
	newest          int
	requests, extra int
}

// bucket holds the counts of one part of the window.
type bucket struct{ requests, extra int }

// SetLimits sets the length of the window and its limits. What was counted is kept.
func (w *Window) SetLimits(length time.Duration, ratio, slack float64) {
	w.BucketLength, w.Ratio, w.Slack = length/bucketsPerWindow, ratio, slack
}

// advance drops the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	if w.bucketStart.IsZero() || now.Sub(w.bucketStart) > time.Duration(len(w.ring))*w.BucketLength {
		w.ring, w.requests, w.extra, w.bucketStart = [bucketsPerWindow + 1]bucket{}, 0, 0, now
		return
	}
	for !now.Before(w.bucketStart.Add(w.BucketLength)) {
		w.bucketStart = w.bucketStart.Add(w.BucketLength)
		w.newest = (w.newest + 1) % len(w.ring)
		w.requests -= w.ring[w.newest].requests
		w.extra -= w.ring[w.newest].extra
		w.ring[w.newest] = bucket{}
	}
}

// AddRequest counts a request.
func (w *Window) AddRequest(now time.Time) {
	w.advance(now)
	w.ring[w.newest].requests++
	w.requests++
}

// Take takes one extra attempt from the budget if at least reserve more remain after it. It
// reports whether it did.
func (w *Window) Take(now time.Time, reserve float64) bool {
	if w.Remaining(now) < 1+reserve {
		return false
	}
	w.ring[w.newest].extra++
	w.extra++
	return true
}

// Refund returns an extra attempt that was taken but not made. It has no effect if none was
// taken in the present bucket.
func (w *Window) Refund(now time.Time) {
	w.advance(now)
	if w.ring[w.newest].extra > 0 {
		w.ring[w.newest].extra--
		w.extra--
	}
}

// Remaining returns the number of extra attempts that may still be made. It can be negative
// once requests have left the window.
func (w *Window) Remaining(now time.Time) float64 { return w.Allowed(now) - float64(w.extra) }

// Allowed returns the number of extra attempts that the requests in the window and the slack
// allow, including those already made.
func (w *Window) Allowed(now time.Time) float64 {
	w.advance(now)
	return w.Ratio*float64(w.requests) + w.Slack
}
