// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"time"

	"github.com/traildrift/traildrift/pkg/sizes"
)

const (
	// minUsefulConfidence is the confidence below which an answer in time is worth less than a late
	// answer of a better model, which earns a tenth to a third.
	minUsefulConfidence = 20
	// failureReserve is how many extra attempts are left in the retry budget for failures when a
	// weak answer is dropped. maxReserveFraction is the maximum of that reserve as a fraction of
	// the allowed attempts: a router that has just started, or one of hundreds, is allowed few.
	failureReserve     = 3
	maxReserveFraction = 0.25
	// unseenReadFactor is how many times the reading time of the next smaller model a larger model
	// is assumed to need until an answer of it has been measured.
	unseenReadFactor = 3
)

// escalate reports whether an answer of this confidence is dropped to ask a larger model, and takes
// the next attempt from the retry budget.
func (x *run) escalate(confidence int, now time.Time) bool {
	if x.e.disabled(LargerModels) || !x.r.AnyModel || x.headSent || !x.route.resumable() || x.attempts >= x.route.MaxAttempts {
		return false
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	size := x.nextSize(confidence, now)
	if size == x.size || x.e.stopping.Load() && !x.endsBeforeStop(size, now) {
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
	// The endpoint that answered is as good as any other for the larger model.
	x.tried = x.tried[:0]
	return true
}

// reserveFor returns how many of the allowed extra attempts are reserved for failures.
func reserveFor(allowed float64) float64 { return min(failureReserve, maxReserveFraction*allowed) }

// nextSize returns the index of the model to ask after an answer of this confidence, or the present
// one to keep the answer. The caller must hold the engine's mu.
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

// affordable returns the largest model up to size that can answer in the time left and is likely
// enough to answer within the aim for how weak the answer is; the present one if there is none. A
// model is not asked whose engine time costs others more than the request may gain.
// Where no model is expected to answer within the aim, an answer below minUsefulConfidence still
// gives way to the next larger model if that answers before the caller gives up. The caller must
// hold the engine's mu.
func (x *run) affordable(size, confidence int, now time.Time) int {
	policy := x.e.limits.Load().Cascade
	aim := x.route.Aim.After(x.r.Arrived).Sub(now).Seconds()
	end, _ := x.mustEndAt()
	left := end.Sub(now).Seconds() - x.e.streamTimes[x.route.Name].expect(0)
	inAim := false
	for ; size > x.size; size-- {
		h := x.estimateHead(size, now)
		head, inTime := h.time, inTimeProb(h.time, aim)
		inAim = inAim || head <= aim
		pays := float64(confidence) < float64(policy.Threshold(x.size, size))*inTime
		if !pays && (inAim || size > x.size+1 || confidence >= minUsefulConfidence) || head > left {
			continue
		}
		if h.mayEnd() && !h.exceedsGain(confidence, inTime) {
			x.recordPriceCost(&h)
			break
		}
		x.recordNotAsked(&h)
	}
	return size
}

// inTimeProb returns the probability, 0 to 1, that a head with this expected time comes within the
// aim, both in seconds. The actual time is assumed to be uniform from 0 to twice the expected time,
// but the probability is 0 if the expected time exceeds the aim. Larger models are thus asked less
// where they are slow for the load or the prompt. Without this, the mean worth of requests in load
// tests fell by 0.012 under high load and by 0.02 under low load.
func inTimeProb(head, aim float64) float64 {
	if head > aim {
		return 0
	}
	return 1 - head/(2*aim)
}

// headEstimate is what is expected of an answer of a larger model.
type headEstimate struct {
	// time is the expected time to the head, in seconds.
	time float64
	// cost is what other requests lose by the answer, as a fraction of what the request earns. price is
	// the part of it that the price of engine time makes up.
	cost, price float64
	// unfinishedProb is the probability that the answer does not end before the deadline.
	unfinishedProb float64
}

// estimateHead returns what is expected of an answer of a model at the endpoint that would be picked. The
// time to the head is the wait there and the reading time. The caller must hold the engine's mu.
func (x *run) estimateHead(size int, now time.Time) headEstimate {
	presentSize := x.size
	x.size = size
	defer func() { x.size = presentSize }()
	p, why := x.pick(now)
	if p == nil {
		return headEstimate{time: math.Inf(1)}
	}
	wait, read := x.lastWant.Wait(p, now), x.readTime(x.unreadTokens(why))
	stream := x.e.streamTimes[x.route.Name].expect(0)
	cost := x.priceCost(runCost(read, stream, p.Slots), now)
	return headEstimate{
		time:           wait + read,
		cost:           x.lastWant.OthersLoss(read, wait) + cost,
		price:          cost,
		unfinishedProb: x.unfinishedProb(p, wait+read, now),
	}
}
