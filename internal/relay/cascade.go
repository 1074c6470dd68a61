// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// hopeless is the confidence under which an answer in time is worth less than a
// late one of a better model, which earns a tenth to a third.
const hopeless = 20

// inTime returns the largest model up to size whose answer is expected within the
// route's aim; the present one if there is none. The engine's mu is held.
func (x *run) inTime(size int, now time.Time) int {
	left := x.route.Aim.After(x.r.Arrived).Sub(now).Seconds()
	for ; size > x.size; size-- {
		m := x.e.heads[sortOf(x.route, x.route.Sizes[size])]
		if m.expect(x.r.TokensIn) <= left {
			break
		}
	}
	return size
}

// reserved is how many extra attempts are kept for failures when a weak answer is
// given up.
const reserved = 3

// larger reports whether an answer of this confidence is dropped for one of a
// larger model, and pays for that.
func (x *run) larger(confidence int, now time.Time) bool {
	if !x.r.OpenModel || x.begun || !x.route.resumable() || x.made >= x.route.MaxAttempts {
		return false
	}
	l := x.e.limits.Load()
	size := l.Cascade.Next(x.size, len(x.route.Sizes), confidence)
	if size == x.size {
		return false
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	size = x.inTime(size, now)
	if size == x.size && confidence >= hopeless {
		return false
	}
	size = max(size, x.size+1)
	want := x.want()
	want.Avoid = nil
	if !x.e.book.Any(now, &want) || !x.e.budget(x.service).Take(now, reserved) {
		return false
	}
	x.prepaid, x.size = true, size
	x.mayHaveRun = true
	// The endpoint that answered is as good as any for the larger model.
	x.tried = x.tried[:0]
	return true
}
