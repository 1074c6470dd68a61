// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package blame

import (
	"math"
	"slices"
	"time"
)

// suspect is a request under which endpoints ended and that is not blamed for it.
type suspect struct {
	// ends are those under it, at most endsKept, and ages how long the request had been at
	// each of them then.
	ends []End
	ages []time.Duration
	// at is when word of the last one came.
	at time.Time
}

// add notes an end under the request, and reports whether it is new.
func (s *suspect) add(e End, age time.Duration) bool {
	list, grown := join(s.ends, e)
	if s.ends = list; grown {
		s.ages = append(s.ages, age)
	}
	return grown
}

// sighting is an end that word of came, whatever ran there.
type sighting struct {
	End
	// own says that this process saw it itself.
	own bool
}

// View is how much of a service this process sees.
type View struct {
	// Aboard is how many endpoints have requests of this process, Listed how many there
	// are.
	Aboard, Listed int
}

const (
	// endsLeast is how many endpoints must have ended under a request for it to be blamed.
	// The users' bound counts from the third on.
	endsLeast = 3
	// endsMost is how many are enough whatever else ends: the users' bound allows three more
	// than endsLeast. Of the requests of a day whose waves ended a third of the endpoints
	// every 3.5 s, one in two hundred met three ends by chance.
	endsMost = 5
	// sure is how unlikely it must be, as a natural logarithm, that a request was merely
	// there: one in a thousand.
	sure = 6.9
	// chanceLeast bounds how unlikely a single end is taken to be: three are enough where
	// nothing else ends.
	chanceLeast = 0.001
	// burstFor is how far apart ends come that have one cause: endpoints that crash together
	// are noticed within milliseconds, and notes of it take up to half a second.
	burstFor = 500 * time.Millisecond
	// waveFor is the time over which it is counted how often endpoints end for other reasons.
	waveFor = 10 * time.Second
	// SettleFor is how long after word of an end a request is judged: by then it is known
	// what else ended at that moment, and under which requests. A crash of many is known
	// within 20 ms, notes of it take 5 ms between zones.
	SettleFor = 60 * time.Millisecond
)

// Judge blames the suspects that word of an end came of, once it has settled, and returns the
// verdicts that are new or changed by that. pending says that there are others to come back
// for. view returns how much this process sees of the service of an endpoint.
func (b *Book) Judge(now time.Time, view func(endpoint uint64) View) (changed []Verdict, pending bool) {
	for p, due := range b.pending {
		if now.Before(due) {
			pending = true
			continue
		}
		delete(b.pending, p)
		if s := b.suspects[p]; s != nil && b.guilty(p, s, view(s.ends[len(s.ends)-1].Endpoint)) {
			changed = append(changed, b.blame(now, p, s.ends)...)
		}
	}
	return changed, pending
}

// guilty reports whether a suspect is to be blamed. What ran beside a request that is blamed
// was struck by that: it takes two ends which no such request explains, or one beyond the
// least number, as the blamed one may itself have run beside this one.
func (b *Book) guilty(p Print, s *suspect, v View) bool {
	if len(s.ends) < endsLeast {
		return false
	}
	open, weight := 0, 0.0
	for i, e := range s.ends {
		if b.explaining(e, p, 0) == nil {
			open++
			weight -= math.Log(b.chance(s, e, s.ages[i], v))
		}
	}
	switch {
	case len(s.ends) >= endsMost:
		return open > 0
	case len(s.ends) > endsLeast:
		return open > 0 && weight >= sure
	default:
		return open > 1 && weight >= sure
	}
}

// chance returns how likely it was, 0 to 1, that an endpoint ended under a suspect though the
// suspect has nothing to do with it: by how many of the others ended at that moment, and by how
// often they do in the time that it was there.
func (b *Book) chance(s *suspect, e End, age time.Duration, v View) float64 {
	var burst, often [2]int
	for i := range b.recent {
		r := &b.recent[i]
		if contains(s.ends, r.End) || b.explaining(r.End, Print{}, 0) != nil {
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
	p := max(part(burst[0], v.Aboard), part(burst[1], v.Listed))
	rate := max(part(often[0], v.Aboard), part(often[1], v.Listed)) / waveFor.Seconds()
	p = max(p, 1-math.Exp(-rate*age.Seconds()))
	return min(max(p, chanceLeast), 1)
}

// part returns n of all as a part; 0 of none.
func part(n, all int) float64 {
	if all <= 0 {
		return 0
	}
	return min(float64(n)/float64(all), 1)
}

// explaining returns a blamed request other than p that an end came from, and under which so
// many endpoints ended at least; nil for none.
func (b *Book) explaining(e End, p Print, least int) *record {
	for _, cause := range b.causes[e.Endpoint] {
		if r := b.records[cause]; cause != p && len(r.Ends) >= least && r.Explains(e) {
			return r
		}
	}
	return nil
}

// blame quarantines a request, and returns the verdicts that are new or changed by that.
func (b *Book) blame(now time.Time, p Print, ends []End) []Verdict {
	v := Verdict{Print: p}
	if r := b.records[p]; r != nil {
		v = r.Verdict
		if v.Blames() {
			// It was tried again after its time and has done it again.
			v.Round++
		}
	}
	v = v.next(now)
	v.Ends, _ = join(ends, v.Ends...)
	delete(b.suspects, p)
	b.keep(now, v)
	return append([]Verdict{v}, b.overrule(now, v.Ends)...)
}

// clearerBy is by how many ends another request must be the clearer cause. A request that was
// blamed wrongly is not sent any more, so that it hardly gets ahead of the right one again.
const clearerBy = 2

// overrule lifts the verdicts, of those that such ends stand in, whose every end other
// requests explain that have more of them by clearerBy, and returns them. They keep their
// ends, so that one more is enough for the blame: it may have been right.
func (b *Book) overrule(now time.Time, ends []End) (lifted []Verdict) {
	for _, e := range ends {
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

// overruled reports whether other requests are the clearer cause of all that one is blamed for.
func (b *Book) overruled(r *record) bool {
	open := func(e End) bool { return b.explaining(e, r.Print, len(r.Ends)+clearerBy) == nil }
	return r.Blames() && !slices.ContainsFunc(r.Ends, open)
}
