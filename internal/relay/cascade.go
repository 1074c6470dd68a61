// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"time"

	"github.com/traildrift/traildrift/pkg/sizes"
)

const (
	// minUsefulConfidence is the confidence under which an answer in time is worth less than
	// a late one of a better model, which earns a tenth to a third.
	minUsefulConfidence = 20
	// failureReserve is how many extra attempts are kept for failures when a weak answer is given up, and
	// reservedMost the part of what is allowed that these are at most: a router that has just
	// started, or that is one of hundreds, is allowed few.
	failureReserve     = 3
	maxReserveFraction = 0.25
	// unseenReadFactor is how many times the reading time of the next smaller model a
	// larger one is taken to need while no answer of it was seen.
	unseenReadFactor = 3
)

// escalate reports whether an answer of this confidence is dropped for one of a
// escalate model, and pays for that.
func (x *run) escalate(confidence int, now time.Time) bool {
	if x.e.disabled(LargerModels) || !x.r.AnyModel || x.headSent || !x.route.resumable() || x.attempts >= x.route.MaxAttempts {
		return false
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	size := x.nextSize(confidence, now)
	if size == x.size {
		return false
	}
	want := x.want()
	want.Avoid = nil
	b := x.e.budget(x.service)
	if !x.e.book.Any(now, &want) || !b.Take(now, reserveFor(b.Allowed(now))) {
		return false
	}
	x.prepaid, x.size = true, size
	x.mayHaveRun = true
	// The endpoint that answered is as good as any for the larger model.
	x.tried = x.tried[:0]
	return true
}

// reserveFor returns how many of the extra attempts that are allowed are kept for failures.
func reserveFor(allowed float64) float64 { return min(failureReserve, maxReserveFraction*allowed) }

// nextSize returns the model to ask after an answer of this confidence; the present one to keep
// the answer. The engine's mu is held.
func (x *run) nextSize(confidence int, now time.Time) int {
	l := x.e.limits.Load()
	if confidence != sizes.Unknown {
		x.recordConfidence(confidence)
		if l.Mechanisms.Cascade != CascadeFixed && x.gainsKnown() {
			return x.bestSize(now)
		}
	}
	size := l.Cascade.Next(x.size, len(x.route.Sizes), confidence)
	if size == x.size {
		return size
	}
	return x.affordable(size, confidence, now)
}

// affordable returns the largest model up to size that the time left allows, and that is
// likely enough to answer in time for how weak the answer is; the present one if there is
// none. Where none answers within the aim, a hopeless
// answer still gives way to one that comes before the caller gives up. The
// engine's mu is held.
func (x *run) affordable(size, confidence int, now time.Time) int {
	policy := x.e.limits.Load().Cascade
	aim := x.route.Aim.After(x.r.Arrived).Sub(now).Seconds()
	left := x.deadline.Sub(now).Seconds() - x.e.streamTimes[x.route.Name].expect(0)
	inAim := false
	for ; size > x.size; size-- {
		head, _ := x.estimateHead(size, now)
		inAim = inAim || head <= aim
		pays := float64(confidence) < float64(policy.Threshold(x.size, size))*inTimeProb(head, aim)
		if (pays || !inAim && size == x.size+1 && confidence < minUsefulConfidence) && head <= left {
			break
		}
	}
	return size
}

// inTimeProb returns the chance, 0 to 1, that a head which is expected to take so long comes
// within the aim, both in seconds: heads spread evenly up to twice what is expected, but
// none is sure that takes all of the aim. Larger models are asked less where they are
// slow for the load or the prompt; without this, the mean worth of trials fell by 0.012 on
// a busy site and by 0.02 on a lightly loaded one.
func inTimeProb(head, aim float64) float64 {
	if head > aim {
		return 0
	}
	return 1 - head/(2*aim)
}

// estimateHead returns how long the head of a model's answer is expected to take, in
// seconds: the wait at the endpoint that would be picked, and the reading; and what others
// lose there by the delay, in parts of what a request earns. The engine's mu is held.
func (x *run) estimateHead(size int, now time.Time) (head, delay float64) {
	present := x.size
	x.size = size
	defer func() { x.size = present }()
	p, why := x.pick(now)
	if p == nil {
		return math.Inf(1), 0
	}
	wait, read := x.lastWant.Wait(p, now), x.readTime(x.unreadTokens(why))
	return wait + read, x.lastWant.OthersLoss(read, wait)
}
