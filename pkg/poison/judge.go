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
	list, grown := join(s.crashes, e)
	if s.crashes = list; grown {
		s.ages = append(s.ages, age)
		if e.At.After(s.at) {
			s.at = e.At
		}
	}
	return grown
}

// recentCrash is a crash that was observed or reported, under whatever requests.
type sighting struct {
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
	crashesLeast = 3
	// sufficientCrashes is the number of crashes that is enough without the test against chance,
	// if no quarantined request explains at least one of them: the specified limit allows three
	// more than minCrashes. minCrashes alone is no proof: where a third of the endpoints crash
	// together every 3.5 s, one request in two hundred meets three crashes by chance.
	crashesMost = 5
	// unconditionalCrashes is the number of crashes that is enough even if quarantined requests
	// explain each of them, as when a hundred requests crash endpoints at once: the specified limit
	// allows no more than three beyond minCrashes.
	crashesEver = 6
	// minWeight is the weight from which crashes are taken as proof: the negative natural
	// logarithm of the probability that they are chance, one in a thousand.
	sure = 6.9
	// minChance is the lower bound of the probability that a single crash is chance. It lets
	// three crashes be enough if nothing else crashes.
	chanceLeast = 0.001
	// burstWindow is the largest time between crashes that may have one cause: processes notice
	// endpoints that crash together within milliseconds, and reports of it take up to half a
	// second.
	burstFor = 500 * time.Millisecond
	// rateWindow is the time before and after a crash over which the rate of other crashes is
	// counted.
	waveFor = 10 * time.Second
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
func (b *Detector) Judge(now time.Time, view func(endpoint uint64) View) (changed []Verdict, pending bool) {
	held := b.heldCrashes()
	for p, due := range b.pending {
		if now.Before(due) {
			pending = true
			continue
		}
		delete(b.pending, p)
		if s := b.suspects[p]; s != nil && b.guilty(p, s, view(s.crashes[len(s.crashes)-1].Endpoint), held) {
			changed = append(changed, b.quarantine(now, p, s.crashes)...)
		}
	}
	return changed, pending
}

// guilty reports whether a suspect is to be quarantined, and updates s.held.
//
// A request that ran beside a quarantined one is affected by its crashes. A suspect of minCrashes
// therefore needs two crashes that no quarantined request explains, and one of more crashes needs
// one, as the quarantined request may itself have run beside this one. A crash is disputed if
// another suspect with as many crashes or more was there too: the suspect judged first would be
// quarantined for crashes that the other may have caused. The next attempt of each resolves that.
func (b *Detector) guilty(p Fingerprint, s *suspect, v View, held []Crash) bool {
	n := len(s.crashes)
	if n < crashesLeast {
		return false
	}
	f := b.weigh(p, s, v, held)
	switch {
	case n >= crashesEver:
		return true
	case n >= crashesMost:
		return f.open > 0
	}
	least := 1
	if n == crashesLeast {
		least = 2
	}
	proven := f.open >= least && f.weight >= sure
	was := s.held
	s.held = proven && f.open-f.disputed < least
	if s.held && !was && b.OnHeld != nil {
		b.OnHeld(p, n)
	}
	return proven && !s.held
}

// evidence summarises the crashes under a suspect.
type findings struct {
	// unexplained is the number of crashes that no quarantined request explains. disputed is the
	// number of these that are also under another suspect with as many crashes or more.
	open, disputed int
	// weight is the negative natural logarithm of the probability that all unexplained crashes
	// are chance.
	weight float64
}

// assess returns the evidence against a suspect. held holds the crashes of all held suspects.
func (b *Detector) weigh(p Fingerprint, s *suspect, v View, held []Crash) (f findings) {
	for i, e := range s.crashes {
		if b.explaining(e, p, 0) != nil {
			continue
		}
		f.open++
		f.weight -= math.Log(b.chance(s, e, s.ages[i], v, held))
		if b.disputed(p, e, len(s.crashes)) {
			f.disputed++
		}
	}
	return f
}

// disputed reports whether a crash is also under a suspect other than p with at least so many
// crashes.
func (b *Detector) disputed(p Fingerprint, e Crash, least int) bool {
	for q, s := range b.suspects {
		if q != p && len(s.crashes) >= least && contains(s.crashes, e) {
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
func (b *Detector) chance(s *suspect, e Crash, age time.Duration, v View, held []Crash) float64 {
	var burst, often [2]int
	for i := range b.recent {
		r := &b.recent[i]
		if contains(s.crashes, r.Crash) || b.explaining(r.Crash, Fingerprint{}, 0) != nil || contains(held, r.Crash) {
			continue
		}
		apart := r.At.Sub(e.At).Abs()
		for k, counts := range []bool{r.own, true} {
			if counts && apart <= burstFor {
				burst[k]++
			}
			if counts && apart <= waveFor {
				often[k]++
			}
		}
	}
	p := max(part(burst[0], v.InFlight), part(burst[1], v.Listed))
	rate := max(part(often[0], v.InFlight), part(often[1], v.Listed)) / waveFor.Seconds()
	p = max(p, 1-math.Exp(-rate*age.Seconds()))
	return min(max(p, chanceLeast), 1)
}

// heldCrashes returns the crashes of all held suspects.
func (b *Detector) heldCrashes() (list []Crash) {
	for _, s := range b.suspects {
		if s.held {
			list = append(list, s.crashes...)
		}
	}
	return list
}

// fraction returns n/all, at most 1, or 0 if all is not positive.
func part(n, all int) float64 {
	if all <= 0 {
		return 0
	}
	return min(float64(n)/float64(all), 1)
}

// explaining returns the record of a quarantined request other than p that explains a crash and
// has at least so many crashes; nil if there is none.
func (b *Detector) explaining(e Crash, p Fingerprint, least int) *record {
	for _, cause := range b.causes[e.Endpoint] {
		if r := b.records[cause]; cause != p && len(r.Crashes) >= least && r.Explains(e) {
			return r
		}
	}
	return nil
}

// quarantine quarantines a request for crashes, and returns its verdict and those that it
// overrules.
func (b *Detector) quarantine(now time.Time, p Fingerprint, crashes []Crash) []Verdict {
	v := Verdict{Fingerprint: p}
	if r := b.records[p]; r != nil {
		v = r.Verdict
		if v.InForce() {
			// The request was retried after Until and crashed an endpoint again.
			v.Round++
		}
	}
	v = v.next(now)
	v.Crashes, _ = join(crashes, v.Crashes...)
	delete(b.suspects, p)
	b.keep(now, v)
	return append([]Verdict{v}, b.overrule(now, v.Crashes)...)
}

// overruleMargin is the number of crashes by which another request must exceed a quarantined one
// to be the clearer cause. A request that was quarantined wrongly is not sent any more, so it
// hardly exceeds the actual cause again.
const clearerBy = 2

// overrule lifts the verdicts on the endpoints of crashes whose every crash is explained by other
// requests with at least overruleMargin more crashes, and returns the lifted verdicts. They keep
// their crashes, so that one more crash is enough for a quarantine: the verdict may have been
// right.
func (b *Detector) overrule(now time.Time, crashes []Crash) (lifted []Verdict) {
	for _, e := range crashes {
		for _, p := range slices.Clone(b.causes[e.Endpoint]) {
			if r := b.records[p]; b.overruled(r) {
				v := r.next(now)
				b.keep(now, v)
				lifted = append(lifted, v)
			}
		}
	}
	return lifted
}

// overruled reports whether a request is quarantined and other requests are the clearer cause of
// each of its crashes.
func (b *Detector) overruled(r *record) bool {
	open := func(e Crash) bool { return b.explaining(e, r.Fingerprint, len(r.Crashes)+clearerBy) == nil }
	return r.InForce() && !slices.ContainsFunc(r.Crashes, open)
}
