// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// choose picks an endpoint and counts the attempt as sent to it.
func (x *run) choose(now time.Time) (*Attempt, *try, *fault.Error) {
	e := x.e
	e.mu.Lock()
	defer e.mu.Unlock()
	x.limited = false
	if err := x.quarantined(now); err != nil {
		return nil, nil, err
	}
	p, why := x.pick(now)
	if p == nil {
		return nil, nil, x.lack(now)
	}
	x.tries = append(x.tries, try{Endpoint: p.ID, Model: x.model(), Version: p.Version, Why: why, At: now, Load: p.Load.Runs(now), Confidence: sizes.Unknown})
	x.tried = append(x.tried, p.ID)
	a := &Attempt{Request: x.r, Endpoint: p.Entry, Model: x.model(), LastEvent: x.lastEvent, Deadline: x.deadline, Rank: x.route.Rank, hash: p.Hash(), expected: x.e.heads[sortOf(x.route, x.model())].expect(x.r.TokensIn)}
	x.foretell(a, p, why, now)
	t := &x.tries[len(x.tries)-1]
	x.explain(t, a, p, now)
	a.warming = p.Warming(now)
	x.sent(a, now)
	t.Granted = p.RecordSend(now)
	x.made++
	if x.workspace != nil {
		a.Workspace = x.workspace.Name
		a.Rank += x.workspace.Rank * ranksOfRoutes
	}
	e.noteSent(a)
	a.Rank = x.urgency(a)
	return a, t, nil
}

// foretell fills in what an attempt is expected to take, and notes what its endpoint gets;
// the engine's mu is held.
func (x *run) foretell(a *Attempt, p *pool.Endpoint, why pool.Reason, now time.Time) {
	a.unread = x.unread(why)
	a.sure = why == pool.ByAffinity || x.shared() == 0 || x.wanted.HomeChance < foundRare
	a.times = p.Pace.Factor(now)
	a.rest = a.times * x.reading(x.r.TokensIn-x.shared())
	a.reading, a.whole = a.times*x.reading(a.unread), a.times*x.reading(x.r.TokensIn)
	w := &x.wanted
	a.wait, a.had, a.urgent = w.Wait(p, now), p.Load.Wait(now), w.Urgent
	a.readBy = p.Load.AddPrompt(now, seconds(a.reading))
	if w.Affinity != 0 {
		entryOf(x.e.rates, x.service).add(now)
		entryOf(x.e.earned, x.service).add(x.units())
		a.prefix, a.cold, a.belongs = w.Affinity, why != pool.ByAffinity, why == pool.ByHome
		x.e.book.RecordHolder(a.prefix, a.hash, now)
	}
}

// seconds returns a number of seconds as a time.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// explain keeps what decided for an endpoint; the engine's mu is held.
func (x *run) explain(t *try, a *Attempt, p *pool.Endpoint, now time.Time) {
	zone := x.e.limits.Load().Zone
	t.Far = p.Zone != zone
	t.Unread, t.Wait, t.Reading, t.Times = a.unread, a.wait, a.reading, a.times
	t.Sent = len(x.r.Body)
	t.Limit, t.Limited = p.Limit()
	if passed := x.wanted.PassedOver; passed != nil {
		t.Passed, t.Cost, t.PassedCost = passed.ID, t.Wait+t.Reading, x.wanted.Wait(passed, now)+x.wanted.UnsharedRead
	}
}

// urgency returns the rank at the endpoint: that of workspace and route, but a prompt that
// is read in a small part of its aim goes before all others, as it holds them up little and
// they hold it up much.
func (x *run) urgency(a *Attempt) int {
	if !x.route.Affinity {
		return min(a.Rank, lastRank)
	}
	if x.urgent(a.whole) {
		return 0
	}
	return min(a.Rank+1, lastRank)
}

// urgent reports whether a prompt that is read in so many seconds goes before others.
func (x *run) urgent(whole float64) bool {
	return x.route.Affinity && !x.e.without(ShortFirst) && whole < shortRead*time.Duration(x.route.Aim).Seconds()
}

const (
	// shortRead is the part of a route's aim in which a short prompt is read.
	shortRead = 0.1
	// ranksOfRoutes is how many ranks one rank of a workspace outweighs, and
	// lastRank the least urgent that endpoints know.
	ranksOfRoutes = 3
	lastRank      = 9
)

// pick returns an endpoint for the next attempt, and why; the engine's mu is held.
// Better the same endpoint again than none, and better the old version than none.
func (x *run) pick(now time.Time) (*pool.Endpoint, pool.Reason) {
	e := x.e
	want := x.want()
	defer func() { x.wanted = want }()
	tried := want.Avoid
	if avoid := x.apart(); len(avoid) > 0 {
		want.Avoid = append(avoid, tried...)
	}
	p, why := e.book.Pick(now, &want)
	for _, fewer := range [][]string{tried, nil} {
		if p != nil || len(fewer) == len(want.Avoid) {
			continue
		}
		want.Avoid = fewer
		p, why = e.book.Pick(now, &want)
	}
	if p != nil {
		return p, why
	}
	if f := e.fit(x.service, x.draw); f.spare != nil {
		want.Fit, want.FirstOnly = f.spare, false
		return e.book.Pick(now, &want)
	}
	return nil, ""
}

// want is what the request asks of an endpoint; the engine's mu is held.
func (x *run) want() pool.Want {
	f := x.e.fit(x.service, x.draw)
	w := pool.Want{Service: x.service, Fit: f.version, FirstOnly: f.one, Zone: x.e.limits.Load().Zone, Avoid: x.tried, NoRetry: !x.route.repeatable(), Draw: x.e.draw(), Zones: x.zones()}
	if n := len(x.r.Prefix); x.route.Affinity && n > 0 {
		// The last part is the request's own, so what others may have left is
		// named by the one before it.
		w.Affinity = pool.Hash(x.model() + "/" + x.r.Prefix[max(n-2, 0)])
		x.weigh(&w)
	}
	return w
}

// zones returns which availability zones the request may be served in; nil for all. One whose region
// is not known is in none that its route or its workspace names.
func (x *run) zones() func(zone string) bool {
	var of []string
	if x.workspace != nil {
		of = x.workspace.Regions
	}
	route := x.route.Regions
	if len(of) == 0 && len(route) == 0 {
		return nil
	}
	regions := x.e.limits.Load().Regions
	in := func(list []string, region string) bool { return len(list) == 0 || slices.Contains(list, region) }
	return func(zone string) bool { return in(of, regions[zone]) && in(route, regions[zone]) }
}

// weigh fills in what an endpoint's choice is weighed by; the engine's mu is held.
func (x *run) weigh(w *pool.Want) {
	e, now := x.e, x.e.Now()
	w.FullRead, w.UnsharedRead = x.reading(x.r.TokensIn), x.reading(x.r.TokensIn-x.shared())
	w.SharedFraction = float64(x.shared()) / float64(max(x.r.TokensIn, 1))
	w.Urgent = x.urgent(w.FullRead)
	w.AheadFraction = e.aheads[sortOf(x.route, x.model())].part()
	w.StreamTime = e.streams[x.route.Name].expect(0)
	if !e.without(Belonging) {
		w.HomeChance = e.belongs.chance()
	}
	w.TimeLeft = x.route.Aim.After(x.r.Arrived).Sub(now).Seconds()
	if w.TimeLeft < leftLeast*time.Duration(x.route.Aim).Seconds() {
		// It is late already: what counts is that it comes while the caller waits.
		w.TimeLeft = x.deadline.Sub(now).Seconds()
	}
	w.Aim = time.Duration(x.route.Aim).Seconds()
	w.OthersWorth = e.earned[x.service].or(x.units()) / x.units()
	w.PromptRate = e.rates[x.service].perSecond(now) * float64(e.Routers()) / float64(max(e.book.Size(x.service), 1))
	if e.without(OthersDelay) {
		w.PromptRate = 0
	}
	w.IgnoreHolders = e.without(Holders)
	w.SampleSize = e.book.Size(x.service) / max(e.Routers(), 1)
}

const (
	// leftLeast is the part of the aim that must be left for the aim to count.
	leftLeast = 0.1
	// toldLeast is the expected reading time, in seconds, from which on the other
	// routers are told: shorter ones hold up nobody for long, and are many.
	toldLeast = 0.05
	// coldLeast is how many shared tokens make it worth telling that an endpoint will
	// hold them.
	coldLeast = 1000
)

// tell tells the other routers what an attempt's endpoint gets: those in its availability
// zone how busy it is, all of them if it is about to hold what it did not.
func (x *run) tell(a *Attempt) {
	cold := a.cold && x.shared() >= coldLeast
	if x.e.without(Notes) || a.reading < toldLeast && !cold {
		return
	}
	x.e.Tell(Word{Endpoint: a.hash, Busy: seconds(a.reading), Prefix: a.prefix, Zone: a.Endpoint.Zone, Others: cold})
}

// shared returns how many tokens of the prompt other requests may share, by the
// caller's word; at most the whole prompt.
func (x *run) shared() int {
	sum := 0
	for _, n := range x.r.PrefixTokens[:max(len(x.r.PrefixTokens)-1, 0)] {
		sum += n
	}
	return min(sum, x.r.TokensIn)
}

// unread returns how many tokens of the prompt are expected to be read by an
// endpoint that was picked for a reason.
func (x *run) unread(why pool.Reason) int {
	switch why {
	case pool.ByAffinity:
		return x.r.TokensIn - x.shared()
	case pool.ByHome:
		return x.r.TokensIn - int(x.wanted.HomeChance*float64(x.shared()))
	default:
		return x.r.TokensIn
	}
}

// reading returns how long the model is expected to read so many tokens, in
// seconds; the engine's mu is held.
func (x *run) reading(tokens int) float64 {
	return x.readingOf(x.size, tokens)
}

// readingOf is reading for the model of a size; one that was not seen yet is
// taken to be dearer than the next smaller one.
func (x *run) readingOf(size, tokens int) float64 {
	if x.model() == "" {
		return x.e.reads[readKey(x.route, "")].at(tokens)
	}
	times := 1.0
	for ; size >= 0; size-- {
		if l, ok := x.e.reads[x.route.Sizes[size]]; ok {
			return times * l.at(tokens)
		}
		times *= dearer
	}
	return 0
}

// readKey names what reads prompts at the same speed: a model, or the endpoints of
// a route where the caller names the model.
func readKey(route *Route, model string) string {
	if model == "" {
		return sortOf(route, "")
	}
	return model
}

// model returns the model to name to the endpoint; empty where the caller does.
func (x *run) model() string {
	if !x.r.OpenModel || len(x.route.Sizes) == 0 {
		return ""
	}
	return x.route.Sizes[min(x.size, len(x.route.Sizes)-1)]
}
