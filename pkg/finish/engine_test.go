// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package finish

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// sim is a fleet of engines that generate a token of each stream per step and read a part of one prompt in it, as
// observed by one router that sends a fraction of the requests.
type sim struct {
	rng     *rand.Rand
	r       router
	engines []*engineSim
	// rate is the number of requests per second, hintSD the spread of hints, seen the fraction of the requests
	// that the router sends, and known that of the prompts that it knows of.
	rate, hintSD, seen, known float64
	errs                      []float64
	inside, ends              int
}

// engineSim is one engine. Times are in seconds.
type engineSim struct {
	now, next, pace float64
	reading         []*streamSim
	decoding        []*streamSim
	recent          Recent
}

// streamSim is one request; prompt is the work left to read it in seconds at pace 1.
type streamSim struct {
	prompt          float64
	known, seen     bool
	hint, events    int
	tokens          int
	load            Load
	logGap          float64
	predicted       bool
	median, lo, hi  float64
	first, last     float64
	from            float64
	fromCount, come int
	gaps            []float64
}

// A step takes simStep and simPerRun for each run, and up to simChunk for a part of a prompt, in seconds; an event has
// simTokens tokens. With these the shortest times are 30 ms and the mean is 210 ms while prompts are read, as measured.
const (
	simStep, simPerRun, simChunk = 0.0028, 0.00003, 0.018
	simTokens                    = 10
)

// simTime converts seconds to a time.
func simTime(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * 1e9)) }

// load returns what the router knows of an engine.
func (e *engineSim) load() Load {
	l := Load{Runs: len(e.reading) + len(e.decoding), Pace: e.pace}
	for _, s := range e.reading {
		if s.known {
			l.Backlog += s.prompt * e.pace
		}
	}
	return l
}

// arrive adds a request: a third have long prompts, for one of three models.
func (m *sim) arrive(e *engineSim) {
	s := &streamSim{prompt: 0.01, events: max(int(38*math.Exp(0.4*m.rng.NormFloat64())), 2)}
	if m.rng.Float64() < 0.33 {
		s.prompt = 0.14 * []float64{0.3, 0.8, 3}[m.rng.IntN(3)]
	}
	s.hint = max(int(10*float64(s.events)*math.Exp(m.hintSD*m.rng.NormFloat64())), 1)
	s.seen = m.rng.Float64() < m.seen
	s.known = s.seen || m.rng.Float64() < m.known
	e.reading = append(e.reading, s)
}

// step runs one step of an engine.
func (m *sim) step(e *engineSim) {
	d := simStep + simPerRun*float64(len(e.reading)+len(e.decoding))
	if len(e.reading) > 0 {
		part := min(e.reading[0].prompt, simChunk)
		e.reading[0].prompt -= part
		d += part
	}
	e.now += d * e.pace
	for _, s := range e.decoding {
		s.tokens++
		if s.tokens%simTokens == 0 {
			m.event(e, s)
		}
	}
	e.decoding = slices.DeleteFunc(e.decoding, func(s *streamSim) bool { return s.come >= s.events })
	if len(e.reading) > 0 && e.reading[0].prompt <= 0 {
		s := e.reading[0]
		e.reading = e.reading[1:]
		e.decoding = append(e.decoding, s)
		m.head(e, s)
	}
}

// head predicts the end of a stream whose first event has come.
func (m *sim) head(e *engineSim, s *streamSim) {
	s.come, s.first, s.last, s.from, s.fromCount, s.load = 1, e.now, e.now, e.now, 1, e.load()
	length, ok := m.r.lengths.Estimate(s.hint)
	if s.predicted = ok && m.r.gaps.Known(); s.seen && s.predicted {
		s.logGap = m.r.gaps.Log(s.load, &e.recent, simTime(e.now))
		end := NewEnd(length, &m.r.calib, 1)
		s.median, s.lo, s.hi = end.Interval(math.Exp(s.logGap))
	}
}

// event learns from an event as internal/relay does.
func (m *sim) event(e *engineSim, s *streamSim) {
	s.come++
	if !s.seen {
		return
	}
	s.gaps = append(s.gaps, e.now-s.last)
	s.last = e.now
	if len(s.gaps) == 7 {
		least := math.Inf(1)
		for i := range 5 {
			least = min(least, (s.gaps[i]+s.gaps[i+1]+s.gaps[i+2])/3)
		}
		m.r.gaps.AddShortest(s.load, least)
	}
	if e.now-s.from >= 0.25 {
		e.recent.Add(&m.r.gaps, e.load(), (e.now-s.from)/float64(s.come-s.fromCount), simTime(e.now))
		s.from, s.fromCount = e.now, s.come
	}
	if s.come < s.events {
		return
	}
	m.r.lengths.Add(s.hint, s.events)
	took := s.last - s.first
	m.r.gaps.AddMean(s.load, took/float64(s.come-1))
	if s.predicted {
		m.r.calib.AddGap(math.Log(took/float64(s.come-1)) - s.logGap)
		in := took >= s.lo && took <= s.hi
		m.r.calib.AddEnd(in)
		m.ends++
		if in {
			m.inside++
		}
		m.errs = append(m.errs, math.Abs(s.median-took)/took)
	}
}

// run runs all engines until a time.
func (m *sim) run(until float64) {
	for _, e := range m.engines {
		for e.now < until {
			for e.next <= e.now {
				m.arrive(e)
				e.next += m.rng.ExpFloat64() * float64(len(m.engines)) / m.rate
			}
			if len(e.reading)+len(e.decoding) == 0 {
				e.now = e.next
				continue
			}
			m.step(e)
		}
	}
}

// At engines that read prompts between steps, of which the router knows a part, the median error must be under a fifth
// and 9 in 10 streams must end inside the interval, at every load and however vague the hints are. Otherwise streams
// that would end are moved, and larger models are asked whose answers do not end.
func TestEngines(t *testing.T) {
	for _, c := range []struct {
		name         string
		rate, hintSD float64
	}{
		{"rate5", 5, 0.1}, {"rate20", 20, 0.1}, {"rate45", 45, 0.1}, {"rate60", 60, 0.1},
		{"rate20VagueHints", 20, 0.5}, {"rate60VagueHints", 60, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			medianErr, inside, n := playEngines(c.rate, c.hintSD)
			t.Logf("median error %.3f, inside %.3f of %d", medianErr, inside, n)
			checkGoal(t, medianErr, inside, 0.03)
		})
	}
}

// playEngines plays 60 s to learn and 540 s that count, and returns the median error, the fraction of streams that
// ended inside their interval, and the number of streams.
func playEngines(rate, hintSD float64) (medianErr, inside float64, n int) {
	m := &sim{rng: rand.New(rand.NewPCG(7, 7)), rate: rate, hintSD: hintSD, seen: 0.1, known: 0.3}
	for i := range 8 {
		m.engines = append(m.engines, &engineSim{pace: []float64{1, 1, 1.3, 0.55}[i%4]})
	}
	for s := 0.1; s < 60; s += 0.1 {
		m.run(s)
	}
	m.errs, m.inside, m.ends = nil, 0, 0
	for s := 60.0; s < 600; s += 0.1 {
		m.run(s)
	}
	slices.Sort(m.errs)
	return m.errs[len(m.errs)/2], float64(m.inside) / float64(m.ends), m.ends
}
