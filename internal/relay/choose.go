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

// choose picks an endpoint and records the attempt as sent to it. The error says why no endpoint
// takes the request.
func (x *run) choose(now time.Time) (*Attempt, *attemptRecord, *fault.Error) {
	e := x.e
	e.mu.Lock()
	defer e.mu.Unlock()
	x.limited = false
	if err := x.quarantineError(now); err != nil {
		return nil, nil, err
	}
	x.price = e.enginePrice(x.service, now)
	if err := x.admit(now); err != nil {
		return nil, nil, err
	}
	p, why := x.pick(now)
	if p == nil {
		return nil, nil, x.unavailable(now)
	}
	x.records = append(x.records, attemptRecord{Endpoint: p.ID, Model: x.model(), Version: p.Version, Why: why, At: now, Load: p.Load.Runs(now), Confidence: sizes.Unknown})
	x.tried = append(x.tried, p.ID)
	a := &Attempt{Request: x.r, Endpoint: p.Entry, Model: x.model(), LastEvent: x.lastEvent, Deadline: x.attemptDeadline(), Rank: x.rank(), hash: p.Hash(), expectedHead: x.e.headTimes[timingKey(x.route, x.model())].expect(x.r.TokensIn)}
	x.predict(a, p, why, now)
	t := &x.records[len(x.records)-1]
	x.recordReasons(t, a, p, now)
	a.warming = p.Warming(now)
	x.recordTrialRequest(a, now)
	t.Granted = p.RecordSend(now)
	x.recordOffer(p, now)
	x.attempts++
	if x.workspace != nil {
		a.Workspace = x.workspace.Name
	}
	e.trackSent(a)
	a.Rank = x.endpointRank(a)
	return a, t, nil
}

// rank returns the rank of the request: that of its workspace first, then that of its route.
func (x *run) rank() int {
	if x.workspace == nil {
		return x.route.Rank
	}
	return x.route.Rank + x.workspace.Rank*routeRanks
}

// predict sets the estimates of an attempt and records the prompt and its prefix at the endpoint.
// The caller must hold the engine's mu.
func (x *run) predict(a *Attempt, p *pool.Endpoint, why pool.Reason, now time.Time) {
	a.unreadTokens = x.unreadTokens(why)
	a.unreadKnown = why == pool.ByAffinity || x.sharedTokens() == 0 || x.lastWant.HomeChance < minHomeChance
	a.paceFactor = p.Pace.Factor(now)
	a.unsharedRead = a.paceFactor * x.readTime(x.r.TokensIn-x.sharedTokens())
	a.readTime, a.fullReadTime = a.paceFactor*x.readTime(a.unreadTokens), a.paceFactor*x.readTime(x.r.TokensIn)
	w := &x.lastWant
	a.wait, a.backlog, a.urgent = w.Wait(p, now), p.Load.Wait(now), w.Urgent
	a.readDoneAt = p.Load.AddPrompt(now, seconds(a.readTime))
	if w.Affinity != 0 {
		getOrCreate(x.e.promptRates, x.service).add(now)
		getOrCreate(x.e.avgUnits, x.service).add(x.units())
		a.prefix, a.cold, a.atHome = w.Affinity, why != pool.ByAffinity, why == pool.ByHome
		x.e.book.RecordHolder(a.prefix, a.hash, now)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// recordReasons records in t what decided for the endpoint. The caller must hold the engine's mu.
func (x *run) recordReasons(t *attemptRecord, a *Attempt, p *pool.Endpoint, now time.Time) {
	zone := x.e.limits.Load().Zone
	t.CrossZone = p.Zone != zone
	t.UnreadTokens, t.Wait, t.ReadTime, t.PaceFactor = a.unreadTokens, a.wait, a.readTime, a.paceFactor
	t.Sent = len(x.r.Body)
	t.Limit, t.Limited = p.Limit()
	if passed := x.lastWant.PassedOver; passed != nil {
		t.PassedOver, t.Cost, t.PassedCost = passed.ID, t.Wait+t.ReadTime, x.lastWant.Wait(passed, now)+x.lastWant.UnsharedRead
	}
}

// endpointRank returns the rank of an attempt at its endpoint. It is that of workspace and route,
// but a prompt that is read in a small part of its aim goes before all others: it delays them
// little, and they would delay it much.
func (x *run) endpointRank(a *Attempt) int {
	if !x.route.Affinity {
		return min(a.Rank, maxRank)
	}
	if x.urgent(a.fullReadTime) {
		return 0
	}
	return min(a.Rank+1, maxRank)
}

// urgent reports whether a prompt with this reading time, in seconds, goes before others.
func (x *run) urgent(whole float64) bool {
	return x.route.Affinity && !x.e.disabled(ShortFirst) && whole < shortPromptFraction*time.Duration(x.route.Aim).Seconds()
}

const (
	// shortPromptFraction is the fraction of a route's aim within which a short prompt is read.
	shortPromptFraction = 0.1
	// routeRanks is how many ranks of a route one rank of a workspace outweighs. maxRank is the
	// least urgent rank that endpoints know.
	routeRanks = 3
	maxRank    = 9
)

// pick returns an endpoint for the next attempt, and the reason; nil if there is none. It prefers
// endpoints that were not tried and the version that the session is assigned to. Rather than none
// it takes a tried endpoint again, but not one that its stream was moved from, and then the old
// version. The caller must hold the engine's mu.
func (x *run) pick(now time.Time) (*pool.Endpoint, pool.Reason) {
	e := x.e
	want := x.want()
	defer func() { x.lastWant = want }()
	tried := want.Avoid
	if avoid := x.suspectEndpoints(); len(avoid) > 0 {
		want.Avoid = append(avoid, tried...)
	}
	p, why := x.pickMoved(&want, now)
	if p == nil {
		p, why = e.book.Pick(now, &want)
	}
	for _, fewer := range [][]string{tried, x.end.movedFrom} {
		if p != nil || len(fewer) == len(want.Avoid) {
			continue
		}
		want.Avoid = fewer
		p, why = e.book.Pick(now, &want)
	}
	if p != nil {
		return p, why
	}
	if f := e.fit(x.service, x.draw); f.fallback != nil {
		want.Fit, want.FirstOnly = f.fallback, false
		return e.book.Pick(now, &want)
	}
	return nil, ""
}

// want returns what the request needs of an endpoint. The caller must hold the engine's mu.
func (x *run) want() pool.Want {
	f := x.e.fit(x.service, x.draw)
	w := pool.Want{Service: x.service, Fit: f.version, FirstOnly: f.firstOnly, Zone: x.e.limits.Load().Zone, Avoid: x.tried, NoRetry: !x.route.repeatable(), Draw: x.e.Draw(), Zones: x.allowedZones(), OnlyOpen: x.room.onlyOpen, Only: x.room.ticket.Only, Reserved: x.room.reserved}
	if n := len(x.r.Prefix); x.route.Affinity && n > 0 {
		// The last part is the request's own. What other requests may have left at an endpoint is
		// named by the part before it.
		w.Affinity = pool.Hash(x.model() + "/" + x.r.Prefix[max(n-2, 0)])
		x.addEstimates(&w)
	}
	return w
}

// allowedZones returns a function that reports whether the request may be served in an availability
// zone; nil if it may be served in all. Where the route or the workspace names regions, a zone of
// unknown region is not allowed.
func (x *run) allowedZones() func(zone string) bool {
	var workspaceRegions []string
	if x.workspace != nil {
		workspaceRegions = x.workspace.Regions
	}
	routeRegions := x.route.Regions
	if len(workspaceRegions) == 0 && len(routeRegions) == 0 {
		return nil
	}
	regions := x.e.limits.Load().Regions
	in := func(list []string, region string) bool { return len(list) == 0 || slices.Contains(list, region) }
	return func(zone string) bool { return in(workspaceRegions, regions[zone]) && in(routeRegions, regions[zone]) }
}

// addEstimates adds the estimates by which endpoints are compared. The caller must hold the
// engine's mu.
func (x *run) addEstimates(w *pool.Want) {
	e, now := x.e, x.e.Now()
	w.FullRead, w.UnsharedRead = x.readTime(x.r.TokensIn), x.readTime(x.r.TokensIn-x.sharedTokens())
	w.SharedFraction = float64(x.sharedTokens()) / float64(max(x.r.TokensIn, 1))
	w.Urgent = x.urgent(w.FullRead)
	w.AheadFraction = e.aheadRatios[timingKey(x.route, x.model())].ratio()
	w.StreamTime = e.streamTimes[x.route.Name].expect(0)
	if !e.disabled(HomeEndpoints) {
		w.HomeChance = e.homeHits.chance()
	}
	w.TimeLeft = x.route.Aim.After(x.r.Arrived).Sub(now).Seconds()
	if w.TimeLeft < minTimeLeftFraction*time.Duration(x.route.Aim).Seconds() {
		// The aim has nearly or entirely passed. What counts now is that the answer comes before
		// the caller gives up.
		end, _ := x.mustEndAt()
		w.TimeLeft = end.Sub(now).Seconds()
	}
	w.Aim = time.Duration(x.route.Aim).Seconds()
	w.OthersWorth = e.avgUnits[x.service].valueOr(x.units()) / x.units()
	w.PromptRate = e.promptRates[x.service].perSecond(now) * float64(e.RouterCount()) / float64(max(e.endpointsServing(x.service, now), 1))
	if e.disabled(DelayToOthers) {
		w.PromptRate = 0
	}
	w.IgnoreHolders = e.disabled(PrefixHolders)
	w.SampleSize = e.book.Size(x.service) / max(e.RouterCount(), 1)
}

const (
	// minTimeLeftFraction is the fraction of the aim that must be left for the aim to count.
	minTimeLeftFraction = 0.1
	// minReportedRead is the expected reading time, in seconds, from which on a prompt is reported
	// to other routers. Shorter ones delay others little, and there are many.
	minReportedRead = 0.05
	// minReportedPrefix is the size of a shared prefix, in tokens, from which on other routers get
	// a report that an endpoint will hold it.
	minReportedPrefix = 1000
)

// reportPrompt sends other routers a report on the prompt that an endpoint gets. Routers in the
// endpoint's availability zone get it for the endpoint's load. Others get it as well if the
// endpoint will hold a prefix that it did not hold before.
func (x *run) reportPrompt(a *Attempt) {
	cold := a.cold && x.sharedTokens() >= minReportedPrefix
	if x.e.disabled(LoadReports) || a.readTime < minReportedRead && !cold {
		return
	}
	x.e.SendEndpointReport(EndpointReport{Endpoint: a.hash, Busy: seconds(a.readTime), Prefix: a.prefix, Zone: a.Endpoint.Zone, OtherZones: cold})
}

// sharedTokens returns how many tokens of the prompt other requests may share according to the
// caller; at most the whole prompt.
func (x *run) sharedTokens() int {
	sum := 0
	for _, n := range x.r.PrefixTokens[:max(len(x.r.PrefixTokens)-1, 0)] {
		sum += n
	}
	return min(sum, x.r.TokensIn)
}

// unreadTokens returns how many tokens of the prompt an endpoint that was picked for this reason is
// expected to read.
func (x *run) unreadTokens(why pool.Reason) int {
	switch why {
	case pool.ByAffinity:
		return x.r.TokensIn - x.sharedTokens()
	case pool.ByHome:
		return x.r.TokensIn - int(x.lastWant.HomeChance*float64(x.sharedTokens()))
	default:
		return x.r.TokensIn
	}
}

// readTime returns how long the present model is expected to read so many tokens, in seconds. The
// caller must hold the engine's mu.
func (x *run) readTime(tokens int) float64 {
	return x.readTimeOf(x.size, tokens)
}

// readTimeOf is readTime for the model with index size in the route's Sizes. A model without
// measurements is expected to take longer than the next smaller one, by unseenReadFactor.
func (x *run) readTimeOf(size, tokens int) float64 {
	if x.model() == "" {
		return x.e.readSpeeds[readKey(x.route, "")].readTime(tokens)
	}
	times := 1.0
	for ; size >= 0; size-- {
		if l, ok := x.e.readSpeeds[x.route.Sizes[size]]; ok {
			return times * l.readTime(tokens)
		}
		times *= unseenReadFactor
	}
	return 0
}

// readKey returns a key in Engine.readSpeeds for what reads prompts at the same speed: a model, or
// the endpoints of a route where the caller names the model.
func readKey(route *Route, model string) string {
	if model == "" {
		return timingKey(route, "")
	}
	return model
}

// model returns the model to name to the endpoint; empty where the caller names it.
func (x *run) model() string {
	if !x.r.AnyModel || len(x.route.Sizes) == 0 {
		return ""
	}
	return x.route.Sizes[min(x.size, len(x.route.Sizes)-1)]
}
