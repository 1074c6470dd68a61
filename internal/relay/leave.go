// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/pool"
)

// progress is what was received of an attempt under way. The request's goroutine writes it, and others read it.
type progress struct {
	endpoint string
	sentAt   time.Time
	// heard is the time in nanoseconds from sentAt until something was received last; 0 before.
	heard atomic.Int64
	// events is the number of events that the caller got from the attempt.
	events atomic.Int64
	// resumable says that another endpoint may go on after what the caller has.
	resumable atomic.Bool
	// kept is why the endpoint was last kept though it was silent; nil if it never was.
	kept atomic.Pointer[string]
}

// hear records that something was received at now, the number of events that the caller has got, and whether another
// endpoint may go on after them.
func (p *progress) hear(now time.Time, events int, resumable bool) {
	p.heard.Store(int64(now.Sub(p.sentAt)))
	p.events.Store(int64(events))
	p.resumable.Store(resumable)
}

// quiet returns how long nothing was received.
func (p *progress) quiet(now time.Time) time.Duration {
	return now.Sub(p.sentAt) - time.Duration(p.heard.Load())
}

// leaving decides whether the endpoint of an attempt is left for its silence: only for one that is better for the caller by
// the time that is left. The engine's mu guards it, so that timers can use it while the request's goroutine waits for the
// endpoint.
type leaving struct {
	// run is a copy of the request's state as the attempt was sent.
	run  run
	hash uint64
	// before is the number of events that earlier attempts passed on.
	before   int
	progress *progress
	// paid says that the next attempt was taken from the retry budget and has not been made.
	paid bool
	// checkAt is when an endpoint that no other can replace is next asked whether it is alive.
	checkAt time.Time
}

// newLeaving returns the decision for an attempt that is about to be sent.
func (x *run) newLeaving(a *Attempt, p *progress) *leaving {
	l := &leaving{run: *x, hash: a.hash, before: x.passed, progress: p}
	l.run.records = nil
	return l
}

// outlook is what is expected of a request whose endpoint is silent, by the time that is left.
type outlook struct {
	// left is the time until the request must have been served; stopping says that the router's stop comes first. quiet
	// is how long the endpoint has been silent, and begun says that the caller has a part of the answer.
	left, quiet     time.Duration
	stopping, begun bool
	// next is the endpoint that would go on; empty if there is none. nextHead is the expected time until it begins,
	// nextProb the probability that the answer ends there in time, and laterProb that if it is asked at the next check.
	// known says that the lengths of answers are known.
	next                string
	nextHead            time.Duration
	nextProb, laterProb float64
	known               bool
	// stayProb is the probability that the answer ends in time where it is, if the endpoint lives.
	stayProb float64
}

// outlook returns what is expected of the request at now. The caller must hold the engine's mu.
func (l *leaving) outlook(now time.Time) *outlook {
	x := &l.run
	x.passed = l.before + int(l.progress.events.Load())
	end, stopping := x.mustEndAt()
	o := &outlook{left: end.Sub(now), quiet: l.progress.quiet(now), stopping: stopping, begun: x.passed > 0}
	rest, byEvents := l.rest(now)
	o.known = byEvents || x.route.Kind != Stream || x.e.streamTimes[x.route.Name].expect(0) > 0
	o.stayProb = silenceEndProb(o.quiet, o.left-rest)
	p, why := x.pick(now)
	if p == nil {
		return o
	}
	head := x.nextHead(p, why, now)
	o.next, o.nextHead = p.ID, seconds(min(head, maxPredicted.Seconds()))
	prob := func(left time.Duration) float64 {
		if byEvents {
			return 1 - x.end.rest.UnfinishedProb(left.Seconds()-headSpread*head, x.logGap(p, 1))
		}
		return headProb(head+rest.Seconds(), left)
	}
	o.nextProb, o.laterProb = prob(o.left), prob(o.left-recheckInterval-aliveTimeout)
	return o
}

// minRestFraction is the least part of a stream's usual time that is expected to be left of one that goes on.
const minRestFraction = 0.25

// rest returns the time that the rest of the answer is expected to take once it goes on. byEvents says that x.end has the
// estimate. Where no stream of the route has ended yet, as much is expected as has come. The caller must hold the engine's
// mu.
func (l *leaving) rest(now time.Time) (rest time.Duration, byEvents bool) {
	x := &l.run
	if x.route.Kind != Stream {
		return 0, false
	}
	if present := x.e.book.ByHash(l.hash); x.prepareEnd(now) && present != nil {
		median, _, _ := x.end.rest.Interval(math.Exp(x.logGap(present, 0)))
		return seconds(min(median, maxPredicted.Seconds())), true
	}
	heard, usual := time.Duration(l.progress.heard.Load()), seconds(x.e.streamTimes[x.route.Name].expect(0))
	if usual == 0 {
		return heard, false
	}
	return max(usual-heard, time.Duration(minRestFraction*float64(usual))), false
}

const (
	// recheckInterval is how often the decision for a silent endpoint that was kept is made anew.
	recheckInterval = 500 * time.Millisecond
	// sureProb is the probability of ending elsewhere in time from which on that counts as certain.
	sureProb = 1 - safeMovedProb
)

// The reasons to keep a silent endpoint, as a metric and the logs name them. keptUnchecked asks for a check whether the
// endpoint is alive.
const (
	keptUnresumable = "unresumable"
	keptBudget      = "budget"
	keptNoOther     = "noOther"
	keptAlive       = "alive"
	keptTimeLeft    = "timeLeft"
	keptUnchecked   = "unchecked"
)

// keeps returns why the endpoint is kept; empty if it is left. alive is what a check has shown of it; empty without a
// check, which is not needed where another endpoint ends the answer in time for certain. In a stop a stream that has begun
// stays for as long as another endpoint would still end it later, since silences pass.
func (o *outlook) keeps(alive Liveness) string {
	switch {
	case o.next == "" || o.nextProb <= 0:
		return keptNoOther
	case alive == LivenessUnknown:
		return ""
	case !o.cutByStop() && o.nextProb >= sureProb:
		return ""
	case alive == "":
		return keptUnchecked
	case alive == Alive:
		return keptAlive
	case o.cutByStop() && !o.lastChance() || o.nextProb <= o.stayProb:
		return keptTimeLeft
	default:
		return ""
	}
}

// cutByStop reports whether the answer has begun, so that the router's stop cuts it if it does not end before.
func (o *outlook) cutByStop() bool { return o.begun && o.stopping }

// lastChance reports whether it is known how long answers take, and that another endpoint would not end this one any more if
// it were asked later.
func (o *outlook) lastChance() bool { return o.known && o.laterProb < sureProb }

// decide returns why the endpoint is kept; empty if it is left, which has taken the next attempt from the retry budget
// then. alive is as in keeps. The caller must hold the engine's mu.
func (l *leaving) decide(alive Liveness, now time.Time) (kept string) {
	x := &l.run
	switch o := l.outlook(now); {
	case !l.progress.resumable.Load() || x.quarantineError(now) != nil:
		kept = keptUnresumable
	case (o.stopping || alive == LivenessUnknown) && pool.HashOf(o.next) == l.hash:
		kept = keptNoOther
	default:
		kept = o.keeps(alive)
	}
	if kept == "" && !l.paid {
		if l.paid = x.e.budget(x.service).Take(now, 0); !l.paid {
			kept = keptBudget
		}
	}
	kept = l.endIfLost(kept, alive, now)
	if kept != "" && kept != keptUnchecked {
		l.progress.kept.Store(&kept)
	}
	return kept
}

// lostCheckInterval is the time between two checks of an endpoint that no other can replace.
const lostCheckInterval = 2 * time.Second

// endIfLost returns why the endpoint is kept, as decide does, where no other one can replace it or no retry is left. If it is
// lost, and its caller has nothing of the answer, the attempt is ended, so that the caller hears of it and may come back.
// The caller must hold the engine's mu.
func (l *leaving) endIfLost(kept string, alive Liveness, now time.Time) string {
	if kept != keptNoOther && kept != keptBudget || l.run.headSent || l.progress.events.Load() > 0 {
		return kept
	}
	switch {
	case alive == LivenessUnknown:
		return ""
	case alive == "" && !now.Before(l.checkAt):
		l.checkAt = now.Add(lostCheckInterval)
		return keptUnchecked
	default:
		return kept
	}
}

// claimPaid reports whether the next attempt was taken from the retry budget when the endpoint was left, once. The caller
// must hold the engine's mu.
func (l *leaving) claimPaid() bool {
	if l == nil || !l.paid {
		return false
	}
	l.paid = false
	return true
}

// refund returns a next attempt that was taken and not made to the retry budget. The caller must hold the engine's mu.
func (l *leaving) refund(now time.Time) {
	if l.claimPaid() {
		l.run.e.budget(l.run.service).Refund(now)
	}
}

// silenceEndProb returns the probability that an endpoint that has been silent for quiet sends something within left. The
// lengths of silences have no usual scale: half of those that have lasted for a time last for as long again.
func silenceEndProb(quiet, left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	return float64(left) / float64(max(quiet, 0)+left)
}

// headProb returns the probability that a head with this expected time, in seconds, comes within left: the time is about
// uniform from 0 to headSpread times the expected.
func headProb(head float64, left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	return left.Seconds() / max(headSpread*head, left.Seconds())
}

// nextHead returns the expected time until endpoint p begins to go on with the answer, in seconds. Attempts that still
// wait for their heads there show that it takes as long at least. The caller must hold the engine's mu.
func (x *run) nextHead(p *pool.Endpoint, why pool.Reason, now time.Time) float64 {
	head := x.lastWant.Wait(p, now) + p.Pace.Factor(now)*x.readTime(x.unreadTokens(why))
	head = max(head, x.e.headTimes[timingKey(x.route, x.model())].expect(x.r.TokensIn))
	if b := x.e.inFlight[p.Hash()]; b != nil && x.route.Kind == Stream {
		for _, s := range b.requests {
			if s.attempt != nil && s.headAt.IsZero() {
				head = max(head, now.Sub(s.sentAt).Seconds())
			}
		}
	}
	return head
}

// The reasons for which an endpoint is left, as a metric and the logs name them.
const (
	leftSilent      = "silent"
	leftSilentJoint = "silentJointly"
	leftSlow        = "slow"
	leftWeakAnswer  = "weakAnswer"
)

// recordLeft records why an endpoint is left, and what was expected at that time. The caller must hold the engine's mu.
func (x *run) recordLeft(t *attemptRecord, why string, now time.Time) {
	t.Left = why
	if t.Outlook == nil && x.leaving != nil {
		t.Outlook = x.leaving.outlook(now)
	}
	x.e.metrics.count("endpoints_left", x.route.Name, why)
}

// recordSilent is recordLeft for an endpoint that was left as it was silent.
func (x *run) recordSilent(t *attemptRecord, now time.Time) {
	why := leftSilent
	if t.Joint {
		why = leftSilentJoint
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.recordLeft(t, why, now)
}

// leftFields returns the log fields of why an endpoint was left; none if it was not.
func (t *attemptRecord) leftFields() []zap.Field {
	if t.Left == "" {
		return nil
	}
	f := []zap.Field{zap.String("left", t.Left)}
	if o := t.Outlook; o != nil {
		f = append(f, zap.Int64("quietMs", o.quiet.Milliseconds()), zap.Int64("timeLeftMs", o.left.Milliseconds()), zap.Bool("stopIsEnd", o.stopping), zap.Float64("stayProb", round(o.stayProb)),
			zap.String("next", o.next), zap.Int64("nextHeadMs", o.nextHead.Milliseconds()), zap.Float64("nextProb", round(o.nextProb)), zap.Bool("endKnown", o.known))
	}
	return f
}

// workFields returns the log fields of the endpoint that is at work on the request; none if there is none.
func (q *activeRequest) workFields(now time.Time) []zap.Field {
	if q == nil {
		return nil
	}
	p := q.work.Load()
	if p == nil {
		return nil
	}
	return []zap.Field{zap.String("atWork", p.endpoint), zap.Int64("atWorkMs", now.Sub(p.sentAt).Milliseconds()), zap.Int64("atWorkQuietMs", p.quiet(now).Milliseconds()), zap.Int64("atWorkEvents", p.events.Load()), p.keptField()}
}

// keptField returns the log field of why the endpoint was kept though it was silent; it is skipped if it never was.
func (p *progress) keptField() zap.Field {
	if why := p.kept.Load(); why != nil {
		return zap.String("kept", *why)
	}
	return zap.Skip()
}

// minQuiet is the silence from which on an endpoint counts as quiet in QuietFields.
const minQuiet = time.Second

// QuietFields returns log fields with the number of endpoints that are at work on requests and of those that have sent
// nothing for minQuiet.
func (e *Engine) QuietFields() []zap.Field {
	now, quiet := e.Now(), 0
	var endpoints []string
	for _, q := range e.active.list() {
		p := q.work.Load()
		if p == nil {
			continue
		}
		endpoints = append(endpoints, p.endpoint)
		if p.quiet(now) >= minQuiet {
			quiet++
		}
	}
	slices.Sort(endpoints)
	return []zap.Field{zap.Int("atWork", len(slices.Compact(endpoints))), zap.Int("quietRequests", quiet)}
}
