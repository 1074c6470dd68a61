// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"math"
	"slices"
	"time"
)

// suspect is a subject that is not quarantined but under which endpoints crashed.
type suspect struct {
	// part is the part that is suspected; zero for a request.
	part Part
	// crashes are the crashes under the subject, at most maxCrashesPerSubject.
	crashes []evidence
	// firstAt and at are the times of the earliest and the latest crash.
	firstAt, at time.Time
	// held is set while the request would be quarantined but for other suspects that were at the
	// same crashes: one of them explains each, and it is not known which.
	held bool
}

// evidence is a crash under a suspect with what is known of the suspect there.
type evidence struct {
	Crash
	// age is how long the latest request of the suspect had been at the endpoint.
	age time.Duration
	// holders identifies requests with the suspected part, or their workspaces, at most
	// maxHolders; nil for a request.
	holders []uint64
	// survival is the largest PartReport.Survival of the reports of the crash.
	survival float64
}

// maxHolders bounds the holders that are stored of one crash.
const maxHolders = 4

// add records a crash under the suspect, and reports whether it is new. Of a part the latest crashes are
// kept: it may be judged long after the first ones.
func (s *suspect) add(e evidence) bool {
	if i := slices.IndexFunc(s.crashes, func(o evidence) bool { return o.same(e.Crash) }); i >= 0 {
		if s.part != (Part{}) {
			s.crashes[i].merge(e)
		}
		return false
	}
	if len(s.crashes) >= maxCrashesPerSubject {
		if s.part == (Part{}) {
			return false
		}
		s.crashes = slices.Clone(s.crashes[1:])
	}
	s.crashes = append(s.crashes, e)
	if s.firstAt.IsZero() || e.At.Before(s.firstAt) {
		s.firstAt = e.At
	}
	if e.At.After(s.at) {
		s.at = e.At
	}
	return true
}

// merge adds what another report of the same crash says.
func (e *evidence) merge(o evidence) {
	e.age, e.survival = min(e.age, o.age), max(e.survival, o.survival)
	for _, h := range o.holders {
		if len(e.holders) < maxHolders && !slices.Contains(e.holders, h) {
			e.holders = append(e.holders, h)
		}
	}
}

// contains reports whether a crash is among those under the suspect.
func (s *suspect) contains(e Crash) bool {
	return slices.ContainsFunc(s.crashes, func(o evidence) bool { return o.same(e) })
}

// list returns the crashes under the suspect.
func (s *suspect) list() []Crash {
	list := make([]Crash, len(s.crashes))
	for i, e := range s.crashes {
		list[i] = e.Crash
	}
	return list
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
	// minPartWeight is that for a part, one in a million: a wrong verdict refuses the requests of
	// many callers, and there are many parts.
	minPartWeight = 13.8
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

// limits are the least evidence for a verdict on a subject of one kind.
type limits struct {
	// minCrashes is the number of crashes from which on the subject is judged.
	minCrashes int
	// minHolders is the number of different requests with a part, or of their workspaces, and
	// minRounds the number of crashes in a row each of which came to a request that was sent after
	// the one before; 0 for no such condition.
	minHolders, minRounds int
}

var (
	requestLimits = limits{minCrashes: minCrashes}
	// One crashing request that is repeated is no evidence against the parts that it shares, nor
	// is a moment at which many endpoints crash that answered a part.
	partLimits = limits{minCrashes: 5, minHolders: 3, minRounds: 3}
	// A caller may name the parts of another workspace. The verdict on a part for all workspaces
	// therefore takes crashes under requests of two.
	anyCallerLimits = limits{minCrashes: 5, minHolders: 2, minRounds: 3}
)

// limitsOf returns the least crashes for a verdict on a subject of the kind of p.
func limitsOf(p Fingerprint) limits {
	if p.IsPart() {
		return partLimits
	}
	return requestLimits
}

const (
	// partSettle is the least time from the first crash under a part to a verdict. Meanwhile sound
	// requests with the part, if there are any, are answered.
	partSettle = time.Second
	// A part with which a request was answered before its first crash needs more to be quarantined:
	// provenSettle instead of partSettle, provenMinCrashes crashes, and a request without the part
	// that was answered since. Otherwise it is the endpoints that crash under whatever they get.
	provenSettle     = 2 * time.Second
	provenMinCrashes = 10
)

// Judge decides on the suspects that are due, SettleDelay after the first crash report since their
// last judgement: it quarantines those that are the cause, and returns the verdicts that are new
// or changed by that, including those that it lifts. pending reports whether suspects are left
// that are not due yet. view returns this process's view of the service of an endpoint, given by
// its hash.
func (d *Detector) Judge(now time.Time, view func(endpoint uint64) View) (changed []Verdict, pending bool) {
	held := d.heldCrashes()
	var parts, requests []Fingerprint
	for p, due := range d.pending {
		switch {
		case now.Before(due):
			pending = true
			continue
		case p.IsPart():
			parts = append(parts, p)
		default:
			requests = append(requests, p)
		}
		delete(d.pending, p)
	}
	// The verdict on a part explains the crashes of the requests with it.
	changed, again := d.judgeParts(now, parts, view, held)
	for _, p := range requests {
		if s := d.requests[p]; s != nil && d.shouldQuarantine(p, s, view(s.crashes[len(s.crashes)-1].Endpoint), held) {
			changed = append(changed, d.quarantine(now, Subject{Fingerprint: p}, s.list())...)
		}
	}
	return changed, pending || again
}

// judgeParts decides on parts. With each that is to be quarantined it quarantines those that can not be told
// apart from it; see RefusesParts. pending reports whether some are to be judged again.
func (d *Detector) judgeParts(now time.Time, due []Fingerprint, view func(endpoint uint64) View, held []Crash) (changed []Verdict, pending bool) {
	assess := func(p Fingerprint) Judgement {
		s := d.parts[p]
		return d.assess(p, s, view(s.crashes[len(s.crashes)-1].Endpoint), held)
	}
	guilty := make(map[Fingerprint]Judgement)
	for _, p := range due {
		s := d.parts[p]
		if s == nil || d.MayJudge != nil && !d.MayJudge(&s.part) {
			continue
		}
		j := assess(p)
		enough, laterAt := d.decidePart(now, s, &j)
		if enough {
			guilty[p] = j
		} else if !laterAt.IsZero() {
			d.pending[p] = laterAt
			pending = true
		}
	}
	return d.quarantineParts(now, guilty, assess), pending
}

// quarantineParts quarantines parts that are found guilty and those that can not be told apart from them.
func (d *Detector) quarantineParts(now time.Time, guilty map[Fingerprint]Judgement, assess func(p Fingerprint) Judgement) (changed []Verdict) {
	if len(guilty) == 0 {
		return nil
	}
	for q, s := range d.parts {
		if _, ok := guilty[q]; ok || d.isProven(q) || !s.isTwinOfAny(guilty) {
			continue
		}
		if j := assess(q); j.Weight >= minPartWeight {
			guilty[q] = j
		}
	}
	for p, j := range guilty {
		if d.OnJudged != nil {
			d.OnJudged(j)
		}
		s := d.parts[p]
		list := s.list()
		changed = append(changed, d.quarantine(now, Subject{p, s.part}, list[max(len(list)-maxPartCrashes, 0):])...)
	}
	return changed
}

// isTwinOfAny reports whether a suspected part was at all crashes but one of a part that is found guilty, and is of
// the same callers and service.
func (s *suspect) isTwinOfAny(guilty map[Fingerprint]Judgement) bool {
	for _, j := range guilty {
		missing := 0
		for _, c := range j.Crashes {
			if !s.contains(c.Crash) {
				missing++
			}
		}
		if s.part.sameScope(&j.Part) && missing <= maxTwinDifference {
			return true
		}
	}
	return false
}

// maxTwinDifference is the number of crashes in which parts may differ that are held to be at the same crashes, as
// reports may be lost.
const maxTwinDifference = 1

// maxPartCrashes bounds the crashes in a new verdict on a part, so that later ones can be added.
const maxPartCrashes = 16

// isProven reports whether a request with a part was answered before, as far as is known.
func (d *Detector) isProven(p Fingerprint) bool {
	return !d.sound.at(p).IsZero() || d.unconfirmed.of(p) > 0
}

// decidePart reports whether the evidence is enough for a quarantine of a part. laterAt is when it
// will be, unless the part is cleared until then; zero for never.
func (d *Detector) decidePart(now time.Time, s *suspect, j *Judgement) (enough bool, laterAt time.Time) {
	least, settle := partLimits, partSettle
	if s.part.AnyCaller {
		least = anyCallerLimits
	}
	if j.Proven = d.isProven(j.Fingerprint); j.Proven {
		least.minCrashes, settle = provenMinCrashes, provenSettle
		if !d.answeredAt[s.part.Service].After(s.firstAt) {
			return false, time.Time{}
		}
	}
	if j.Unexplained < least.minCrashes || j.Holders < least.minHolders || j.Rounds < least.minRounds || j.Weight < minPartWeight {
		return false, time.Time{}
	}
	if at := s.firstAt.Add(settle); now.Before(at) {
		return false, at
	}
	return true, time.Time{}
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
	// Part is the part that is judged; zero for a request.
	Part Part
	// Held says that the suspect was not quarantined, as others were at its crashes.
	Held bool
	// Crashes are the crashes under the suspect, in the order in which they were reported.
	Crashes []AssessedCrash
	// Unexplained is the number of crashes that no quarantined request explains. Disputed is the
	// number of these that are also under another suspect with as many crashes or more, Alone
	// the number of those at which no other suspect was.
	Unexplained, Disputed, Alone int
	// Holders is the number of different requests with the part, or of their workspaces, at the
	// unexplained crashes. Rounds is the largest number of these of which each came to a request
	// that was sent after the one before. Both are 0 for a request.
	Holders, Rounds int
	// Weight is the negative natural logarithm of the probability that all unexplained crashes
	// are chance; of a part, that those of the rounds are.
	Weight float64
	// Proven says that a request with the part was answered completely before.
	Proven bool
}

// AssessedCrash is a crash under a suspect with what it counts as evidence.
type AssessedCrash struct {
	Crash
	// Age is how long the request had been at the endpoint.
	Age time.Duration
	// Chance is the probability, 0 to 1, that the endpoint crashed by chance. It is 0 for a crash
	// that a quarantined subject explains.
	Chance float64
	// Besides is the number of other suspects and quarantined requests that were at the crash.
	Besides int
}

// assess returns the evidence against a suspect. held holds the crashes of all held suspects.
func (d *Detector) assess(p Fingerprint, s *suspect, v View, held []Crash) Judgement {
	f := Judgement{Fingerprint: p, Part: s.part}
	var roundAt time.Time
	var holders []uint64
	byTime := slices.Clone(s.crashes)
	if p.IsPart() {
		slices.SortStableFunc(byTime, func(a, b evidence) int { return a.At.Compare(b.At) })
	}
	for _, e := range byTime {
		c := AssessedCrash{Crash: e.Crash, Age: e.age, Besides: d.countBesides(p, e.Crash)}
		if d.explainedBy(e.Crash, p, 0) == nil {
			c.Chance = max(d.chance(s, e.Crash, e.age, v, held), e.survival)
			f.Unexplained++
			if c.Besides == 0 {
				f.Alone++
			}
			if d.disputed(p, e.Crash, len(s.crashes)) {
				f.Disputed++
			}
			if !p.IsPart() {
				f.Weight -= math.Log(c.Chance)
			} else if roundAt.IsZero() || !e.At.Add(-e.age).Before(roundAt) {
				f.Weight -= math.Log(c.Chance)
				f.Rounds++
				roundAt = e.At
			}
			holders = append(holders, e.holders...)
		}
		f.Crashes = append(f.Crashes, c)
	}
	slices.Sort(holders)
	f.Holders = len(slices.Compact(holders))
	return f
}

// countBesides returns the number of suspects of the same kind and of quarantined subjects other
// than p that were at a crash.
func (d *Detector) countBesides(p Fingerprint, e Crash) (n int) {
	for q, s := range d.suspectsLike(p) {
		if q != p && s.contains(e) {
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

// disputed reports whether a crash is also under a suspect of the same kind other than p with at
// least so many crashes.
func (d *Detector) disputed(p Fingerprint, e Crash, atLeast int) bool {
	for q, s := range d.suspectsLike(p) {
		if q != p && len(s.crashes) >= atLeast && s.contains(e) {
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
		if s.contains(r.Crash) || d.explainedBy(r.Crash, Fingerprint{}, 0) != nil || contains(held, r.Crash) {
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
	for _, s := range d.requests {
		if s.held {
			list = append(list, s.list()...)
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

// explainedBy returns the record of a quarantined subject other than p that explains a crash and
// has at least so many crashes; nil if there is none. A request explains no crash of a part: each
// request with a part that crashes endpoints is quarantined once it was sent to three.
func (d *Detector) explainedBy(e Crash, p Fingerprint, atLeast int) *record {
	for _, cause := range d.causes[e.Endpoint] {
		if p.IsPart() && !cause.IsPart() {
			continue
		}
		if r := d.records[cause]; cause != p && len(r.Crashes) >= atLeast && r.Explains(e) {
			return r
		}
	}
	return nil
}

// quarantine quarantines a subject for crashes, and returns its verdict and those that it
// overrules.
func (d *Detector) quarantine(now time.Time, t Subject, crashes []Crash) []Verdict {
	p := t.Fingerprint
	v := Verdict{Fingerprint: p, Part: t.Part}
	if r := d.records[p]; r != nil {
		v = r.Verdict
		v.Part = t.Part
		if v.InForce() {
			// The request was retried after Until and crashed an endpoint again.
			v.Round++
		}
	}
	v = v.nextRound(now)
	v.Crashes, _ = mergeCrashes(crashes, v.Crashes...)
	delete(d.suspectsLike(p), p)
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
