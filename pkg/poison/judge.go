// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"math"
	"slices"
	"time"
)

// suspect is a request that is not quarantined but under which endpoints crashed.
type suspect struct {
	// crashes are the crashes under the request, at most maxCrashesPerRequest. ages holds for each
	// of them how long the request had been at the endpoint.
	crashes []Crash
	ages    []time.Duration
	// at is the time of the latest crash.
	at time.Time
	// held is set while the request would be quarantined but for other suspects that were at the
	// same crashes: one of them explains each, and it is not known which.
	held bool
}

// add records a crash under the request, and reports whether it is new.
func (s *suspect) add(e Crash, age time.Duration) bool {
	list, grown := mergeCrashes(s.crashes, e)
	if s.crashes = list; grown {
		s.ages = append(s.ages, age)
		if e.At.After(s.at) {
			s.at = e.At
		}
	}
	return grown
}

// recentCrash is a crash that was observed or reported, under whatever requests.
type recentCrash struct {
	Crash
	// own is set if this process observed the crash itself.
	own bool
}

// View is the part of a service that this process observes. The caller of Judge provides it.
type View struct {
	// InFlight is the number of endpoints that run requests of this process, Listed the number
	// of all endpoints of the service.
	InFlight, Listed int
}

const (
	// minCrashes is the number of endpoints that must have crashed under a request for it to be
	// quarantined. The specified limit on attempts counts from the third crash on.
	minCrashes = 3
	// minUndisputed is the number of undisputed crashes that a request must have to be
	// quarantined for minCrashes that are not explained.
	minUndisputed = 2
	// sufficientCrashes is the number of crashes that is enough without the test against chance,
	// if no quarantined request explains at least one of them: the specified limit allows three
	// more than minCrashes. minCrashes alone is no proof: where a third of the endpoints crash
	// together every 3.5 s, one request in two hundred meets three crashes by chance.
	sufficientCrashes = 5
	// unconditionalCrashes is the number of crashes that is enough even if quarantined requests
	// explain each of them, as when a hundred requests crash endpoints at once: the specified limit
	// allows no more than three beyond minCrashes.
	unconditionalCrashes = 6
	// minWeight is the weight from which crashes are taken as proof: the negative natural
	// logarithm of the probability that they are chance, one in a thousand.
	minWeight = 6.9
	// minChance is the lower bound of the probability that a single crash is chance. It lets
	// three crashes be enough if nothing else crashes.
	minChance = 0.001
	// burstWindow is the largest time between crashes that may have one cause: processes notice
	// endpoints that crash together within milliseconds, and reports of it take up to half a
	// second.
	burstWindow = 500 * time.Millisecond
	// rateWindow is the time before and after a crash over which the rate of other crashes is
	// counted.
	rateWindow = 10 * time.Second
	// SettleDelay is the time between the report of a crash and the judgement of its request. By
	// then it is known what else crashed at that moment, and under which requests: a crash of
	// many endpoints is noticed within 20 ms, and reports take 5 ms between availability zones.
	SettleDelay = 60 * time.Millisecond
)

// Judge decides on the suspects that are due, SettleDelay after the first crash report since their
// last judgement: it quarantines those that are the cause, and returns the verdicts that are new
// or changed by that, including those that it lifts. pending reports whether suspects are left
// that are not due yet. view returns this process's view of the service of an endpoint, given by
// its hash.
func (d *Detector) Judge(now time.Time, view func(endpoint uint64) View) (changed []Verdict, pending bool) {
	held := d.heldCrashes()
	for p, due := range d.pending {
		if now.Before(due) {
			pending = true
			continue
		}
		delete(d.pending, p)
		if s := d.suspects[p]; s != nil && d.shouldQuarantine(p, s, view(s.crashes[len(s.crashes)-1].Endpoint), held) {
			changed = append(changed, d.quarantine(now, p, s.crashes)...)
		}
	}
	return changed, pending
}

// shouldQuarantine reports whether a suspect is to be quarantined, and updates s.held.
//
// A request that ran beside a quarantined one is affected by its crashes. A suspect therefore needs
// minCrashes that no quarantined request explains. As the quarantined request may itself have run
// beside this one, a single one is enough from the next crash on if no other suspect was at it. A
// crash is disputed if another suspect with as many crashes or more was there too: the suspect
// judged first would be quarantined for crashes that the other may have caused. The next attempt
// of each resolves that.
func (d *Detector) shouldQuarantine(p Fingerprint, s *suspect, v View, held []Crash) bool {
	n := len(s.crashes)
	if n < minCrashes {
		return false
	}
	f := d.assess(p, s, v, held)
	was := s.held
	quarantined := s.decide(&f)
	f.Held = !quarantined
	if d.OnJudged != nil && (quarantined || s.held && !was) {
		d.OnJudged(f)
	}
	return quarantined
}

// decide reports whether the evidence is enough for a quarantine, and updates s.held.
func (s *suspect) decide(f *Judgement) bool {
	n, undisputed := len(s.crashes), f.Unexplained-f.Disputed
	switch {
	case n >= unconditionalCrashes:
		return true
	case n >= sufficientCrashes:
		return f.Unexplained > 0
	}
	enough := f.Weight >= minWeight && f.Unexplained >= minCrashes
	alone := f.Weight >= minWeight && n > minCrashes && f.Alone > 0
	s.held = enough && !alone && undisputed < minUndisputed
	return alone || enough && !s.held
}

// Judgement is the evidence against a suspect when it was judged.
type Judgement struct {
	Fingerprint Fingerprint
	// Held says that the suspect was not quarantined, as others were at its crashes.
	Held bool
	// Crashes are the crashes under the suspect, in the order in which they were reported.
	Crashes []AssessedCrash
	// Unexplained is the number of crashes that no quarantined request explains. Disputed is the
	// number of these that are also under another suspect with as many crashes or more, Alone
	// the number of those at which no other suspect was.
	Unexplained, Disputed, Alone int
	// Weight is the negative natural logarithm of the probability that all unexplained crashes
	// are chance.
	Weight float64
}

// AssessedCrash is a crash under a suspect with what it counts as evidence.
type AssessedCrash struct {
	Crash
	// Age is how long the request had been at the endpoint.
	Age time.Duration
	// Chance is the probability, 0 to 1, that the endpoint crashed by chance. It is 0 for a crash
	// that a quarantined request explains.
	Chance float64
	// Besides is the number of other suspects and quarantined requests that were at the crash.
	Besides int
}

// assess returns the evidence against a suspect. held holds the crashes of all held suspects.
func (d *Detector) assess(p Fingerprint, s *suspect, v View, held []Crash) Judgement {
	f := Judgement{Fingerprint: p}
	for i, e := range s.crashes {
		c := AssessedCrash{Crash: e, Age: s.ages[i], Besides: d.countBesides(p, e)}
		if d.explainedBy(e, p, 0) == nil {
			c.Chance = d.chance(s, e, s.ages[i], v, held)
			f.Unexplained++
			f.Weight -= math.Log(c.Chance)
			if c.Besides == 0 {
				f.Alone++
			}
			if d.disputed(p, e, len(s.crashes)) {
				f.Disputed++
			}
		}
		f.Crashes = append(f.Crashes, c)
	}
	return f
}

// countBesides returns the number of suspects and quarantined requests other than p that were at
// a crash.
func (d *Detector) countBesides(p Fingerprint, e Crash) (n int) {
	for q, s := range d.suspects {
		if q != p && contains(s.crashes, e) {
			n++
		}
	}
	for _, q := range d.causes[e.Endpoint] {
		if q != p && d.records[q].Explains(e) {
			n++
		}
	}
	return n
}

// disputed reports whether a crash is also under a suspect other than p with at least so many
// crashes.
func (d *Detector) disputed(p Fingerprint, e Crash, atLeast int) bool {
	for q, s := range d.suspects {
		if q != p && len(s.crashes) >= atLeast && contains(s.crashes, e) {
			return true
		}
	}
	return false
}

// chance returns the probability that an endpoint crashed under a suspect that is not the cause,
// from minChance to 1. It is the larger of two estimates: the share of the other endpoints that
// crashed at that moment, and the probability of a crash during the request's age at the observed
// rate of other crashes. Each is taken over the endpoints with requests of this process and over
// all, and the larger value holds. Crashes that a quarantined request explains don't count, nor
// those in held, which one of several suspects explains.
func (d *Detector) chance(s *suspect, e Crash, age time.Duration, v View, held []Crash) float64 {
	var inBurst, inRateWindow [2]int
	for i := range d.recent {
		r := &d.recent[i]
		if contains(s.crashes, r.Crash) || d.explainedBy(r.Crash, Fingerprint{}, 0) != nil || contains(held, r.Crash) {
			continue
		}
		apart := r.At.Sub(e.At).Abs()
		for k, counts := range []bool{r.own, true} {
			if counts && apart <= burstWindow {
				inBurst[k]++
			}
			if counts && apart <= rateWindow {
				inRateWindow[k]++
			}
		}
	}
	p := max(fraction(inBurst[0], v.InFlight), fraction(inBurst[1], v.Listed))
	rate := max(fraction(inRateWindow[0], v.InFlight), fraction(inRateWindow[1], v.Listed)) / rateWindow.Seconds()
	p = max(p, 1-math.Exp(-rate*age.Seconds()))
	return min(max(p, minChance), 1)
}

// heldCrashes returns the crashes of all held suspects.
func (d *Detector) heldCrashes() (list []Crash) {
	for _, s := range d.suspects {
		if s.held {
			list = append(list, s.crashes...)
		}
	}
	return list
}

// fraction returns n/all, at most 1, or 0 if all is not positive.
func fraction(n, all int) float64 {
	if all <= 0 {
		return 0
	}
	return min(float64(n)/float64(all), 1)
}

// explainedBy returns the record of a quarantined request other than p that explains a crash and
// has at least so many crashes; nil if there is none.
func (d *Detector) explainedBy(e Crash, p Fingerprint, atLeast int) *record {
	for _, cause := range d.causes[e.Endpoint] {
		if r := d.records[cause]; cause != p && len(r.Crashes) >= atLeast && r.Explains(e) {
			return r
		}
	}
	return nil
}

// quarantine quarantines a request for crashes, and returns its verdict and those that it
// overrules.
func (d *Detector) quarantine(now time.Time, p Fingerprint, crashes []Crash) []Verdict {
	v := Verdict{Fingerprint: p}
	if r := d.records[p]; r != nil {
		v = r.Verdict
		if v.InForce() {
			// The request was retried after Until and crashed an endpoint again.
			v.Round++
		}
	}
	v = v.nextRound(now)
	v.Crashes, _ = mergeCrashes(crashes, v.Crashes...)
	delete(d.suspects, p)
	d.setVerdict(now, v)
	return append([]Verdict{v}, d.overrule(now, v.Crashes)...)
}

// overruleMargin is the number of crashes by which another request must exceed a quarantined one
// to be the clearer cause. A request that was quarantined wrongly is not sent any more, so it
// hardly exceeds the actual cause again.
const overruleMargin = 2

// overrule lifts the verdicts on the endpoints of crashes whose every crash is explained by other
// requests with at least overruleMargin more crashes, and returns the lifted verdicts. They keep
// their crashes, so that one more crash is enough for a quarantine: the verdict may have been
// right.
func (d *Detector) overrule(now time.Time, crashes []Crash) (lifted []Verdict) {
	for _, e := range crashes {
		for _, p := range slices.Clone(d.causes[e.Endpoint]) {
			if r := d.records[p]; d.isOverruled(r) {
				v := r.nextRound(now)
				d.setVerdict(now, v)
				lifted = append(lifted, v)
			}
		}
	}
	return lifted
}

// isOverruled reports whether a request is quarantined and other requests are the clearer cause of
// each of its crashes.
func (d *Detector) isOverruled(r *record) bool {
	unexplained := func(e Crash) bool { return d.explainedBy(e, r.Fingerprint, len(r.Crashes)+overruleMargin) == nil }
	return r.InForce() && !slices.ContainsFunc(r.Crashes, unexplained)
}
