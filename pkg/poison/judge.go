// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"math"
	"slices"
	"time"
)

// suspect is a request under which endpoints crashed and that is not quarantined for it.
type suspect struct {
	// crashes are those under it, at most crashesKept, and ages how long the request had been at
	// each of them then.
	crashes []Crash
	ages    []time.Duration
	// at is when the last one was.
	at time.Time
	// held says that only other suspects, which were at the same crashes, keep it from being
	// quarantined: one of them all explains each.
	held bool
}

// add notes a crash under the request, and reports whether it is new.
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

// sighting is a crash that word of came, whatever ran there.
type sighting struct {
	Crash
	// own says that this process saw it itself.
	own bool
}

// View is how much of a service this process sees.
type View struct {
	// InFlight is how many endpoints have requests of this process, Listed how many there
	// are.
	InFlight, Listed int
}

const (
	// crashesLeast is how many endpoints must have ended under a request for it to be quarantined.
	// The users' bound counts from the third on.
	crashesLeast = 3
	// crashesMost is how many are enough whatever else crashes: the users' bound allows three more
	// than crashesLeast. Of the requests of a day whose waves crashed a third of the endpoints
	// every 3.5 s, one in two hundred met three crashes by chance.
	crashesMost = 5
	// crashesEver is how many are enough though requests that are quarantined explain each of them,
	// as where a hundred crash endpoints at once: the users' bound allows no more than three
	// beyond crashesLeast.
	crashesEver = 6
	// sure is how unlikely it must be, as a natural logarithm, that a request was merely
	// there: one in a thousand.
	sure = 6.9
	// chanceLeast bounds how unlikely a single crash is taken to be: three are enough where
	// nothing else crashes.
	chanceLeast = 0.001
	// burstFor is how far apart crashes come that have one cause: endpoints that crash together
	// are noticed within milliseconds, and notes of it take up to half a second.
	burstFor = 500 * time.Millisecond
	// waveFor is the time over which it is counted how often endpoints crash for other reasons.
	waveFor = 10 * time.Second
	// SettleFor is how long after word of a crash a request is judged: by then it is known
	// what else crashed at that moment, and under which requests. A crash of many is known
	// within 20 ms, notes of it take 5 ms between zones.
	SettleFor = 60 * time.Millisecond
)

// Judge quarantines the suspects that word of a crash came of, once it has settled, and returns the
// verdicts that are new or changed by that. pending says that there are others to come back
// for. view returns how much this process sees of the service of an endpoint.
func (b *Book) Judge(now time.Time, view func(endpoint uint64) View) (changed []Verdict, pending bool) {
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

// guilty reports whether a suspect is to be quarantined. What ran beside a request that is quarantined
// was struck by that: it takes two crashes which no such request explains, or one beyond the
// least number, as the quarantined one may itself have run beside this one. Crashes that came to
// another suspect of as many or more are disputed: whichever is judged first would be blamed for
// what may be the other's, and the next attempt of each tells.
func (b *Book) guilty(p Fingerprint, s *suspect, v View, held []Crash) bool {
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
	if s.held && !was && b.Held != nil {
		b.Held(p, n)
	}
	return proven && !s.held
}

// findings are what the crashes under a suspect come to.
type findings struct {
	// open is how many no quarantined request explains, and disputed how many of these came to
	// another suspect of as many crashes.
	open, disputed int
	// weight is how unlikely the open ones are together by chance, as a natural logarithm.
	weight float64
}

// weigh weighs the crashes under a suspect.
func (b *Book) weigh(p Fingerprint, s *suspect, v View, held []Crash) (f findings) {
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

// disputed reports whether a crash came to another suspect as well, of so many crashes at least.
func (b *Book) disputed(p Fingerprint, e Crash, least int) bool {
	for q, s := range b.suspects {
		if q != p && len(s.crashes) >= least && contains(s.crashes, e) {
			return true
		}
	}
	return false
}

// chance returns how likely it was, 0 to 1, that an endpoint crashed under a suspect though the
// suspect has nothing to do with it: by how many of the others crashed at that moment, and by how
// often they do in the time that it was there. Those that a request explains don't count; held are
// the crashes that one of several suspects does.
func (b *Book) chance(s *suspect, e Crash, age time.Duration, v View, held []Crash) float64 {
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

// heldCrashes returns the crashes under suspects that are held.
func (b *Book) heldCrashes() (list []Crash) {
	for _, s := range b.suspects {
		if s.held {
			list = append(list, s.crashes...)
		}
	}
	return list
}

// part returns n of all as a part; 0 of none.
func part(n, all int) float64 {
	if all <= 0 {
		return 0
	}
	return min(float64(n)/float64(all), 1)
}

// explaining returns a quarantined request other than p that a crash came from, and under which so
// many endpoints crashed at least; nil for none.
func (b *Book) explaining(e Crash, p Fingerprint, least int) *record {
	for _, cause := range b.causes[e.Endpoint] {
		if r := b.records[cause]; cause != p && len(r.Crashes) >= least && r.Explains(e) {
			return r
		}
	}
	return nil
}

// quarantine quarantines a request, and returns the verdicts that are new or changed by that.
func (b *Book) quarantine(now time.Time, p Fingerprint, crashes []Crash) []Verdict {
	v := Verdict{Fingerprint: p}
	if r := b.records[p]; r != nil {
		v = r.Verdict
		if v.InForce() {
			// It was tried again after its time and has done it again.
			v.Round++
		}
	}
	v = v.next(now)
	v.Crashes, _ = join(crashes, v.Crashes...)
	delete(b.suspects, p)
	b.keep(now, v)
	return append([]Verdict{v}, b.overrule(now, v.Crashes)...)
}

// clearerBy is by how many crashes another request must be the clearer cause. A request that was
// quarantined wrongly is not sent any more, so that it hardly gets ahead of the right one again.
const clearerBy = 2

// overrule lifts the verdicts, of those that such crashes stand in, whose every crash other
// requests explain that have more of them by clearerBy, and returns them. They keep their
// crashes, so that one more is enough for a quarantine: it may have been right.
func (b *Book) overrule(now time.Time, crashes []Crash) (lifted []Verdict) {
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

// overruled reports whether other requests are the clearer cause of all that one is quarantined for.
func (b *Book) overruled(r *record) bool {
	open := func(e Crash) bool { return b.explaining(e, r.Fingerprint, len(r.Crashes)+clearerBy) == nil }
	return r.InForce() && !slices.ContainsFunc(r.Crashes, open)
}
