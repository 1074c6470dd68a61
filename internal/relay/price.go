// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/price"
	"github.com/traildrift/traildrift/pkg/sizes"
)

const (
	// rejectedWait is the wait, as a fraction of the target, that counts for an attempt that a full
	// endpoint rejects: its queue would have taken at least the target.
	rejectedWait = 1
	// baseQuantile is the quantile of the measured waits, per timingKey, that is taken as the base: the time
	// without any queue, for the way to the endpoint, a step of the model and reading that is not measured.
	// maxBase bounds the base, as a fraction of the target, since in a lasting shortage even the shortest
	// waits include a queue.
	baseQuantile = speedQuantile
	maxBase      = 0.2
	// minBase is the least value of a base, in seconds, as reading may take less time than estimated.
	minBase = 0.001
	// servingRefresh is how often the endpoints of a service that may get work are counted at most. Lost
	// endpoints are ejected within a second or two, and a count of 1,400 takes some 10 us.
	servingRefresh = 250 * time.Millisecond
	// minLateGain is the least fraction of the worth of a good answer that one in time or late earns: a
	// late one earns a tenth to a third.
	minLateGain = 0.2
)

// servicePrice is the price of a service's engine time, and what this router learns it from.
type servicePrice struct {
	price price.Controller
	// bases holds the time to the head without a queue and without reading, in seconds, by timingKey; see
	// baseQuantile.
	bases map[string]*quantile
	// serving is the number of endpoints that may get work, counted at servingAt.
	serving   int
	servingAt time.Time
	// priceGauge and waitGauge hold the price and the mean wait as a fraction of the targets.
	priceGauge, waitGauge tally.Gauge
}

// priceOf returns the price state of a service, which is created on first use. The caller must hold mu.
func (e *Engine) priceOf(service string) *servicePrice {
	l, ok := e.prices[service]
	if !ok {
		s := e.metrics.scope.Tagged(map[string]string{"service": service})
		l = &servicePrice{bases: make(map[string]*quantile), priceGauge: s.Gauge("engine_price"), waitGauge: s.Gauge("engine_wait")}
		e.prices[service] = l
	}
	return l
}

// enginePrice returns the price of a service's engine time; 0 where the mechanism is not in use. The caller
// must hold mu.
func (e *Engine) enginePrice(service string, now time.Time) float64 {
	if !e.enabled(EnginePrice, service) {
		return 0
	}
	return e.priceOf(service).price.Price(now)
}

// runCost returns the engine time of an answer in seconds: that for which the endpoint reads the prompt,
// and the run's part of the endpoint while it generates.
func runCost(read, stream float64, slots int) float64 { return read + stream/float64(max(slots, 1)) }

// priceCost returns what the engine time of an answer costs other requests, as a fraction of what the
// request earns. seconds is the engine time; see runCost. The caller must hold the engine's mu.
func (x *run) priceCost(seconds float64, now time.Time) float64 {
	p := x.e.enginePrice(x.service, now)
	if p == 0 {
		return 0
	}
	units := x.units()
	return price.Cost(p, seconds, x.e.avgUnits[x.service].valueOr(units)/units, x.priceRank())
}

// priceRank returns the rank by which the request pays for engine time.
func (x *run) priceRank() int {
	return min(max(x.rank(), 0), maxRank)
}

// exceedsGain reports whether the price of the engine time exceeds what a request may gain by the answer, given the
// confidence of the present answer and the probability that the head comes in time. The larger model's answer is taken
// to be good, as its gain is not known yet.
func (h *headEstimate) exceedsGain(confidence int, inTime float64) bool {
	return h.price > (1-float64(confidence)/100)*max(inTime, minLateGain)
}

// recordPriceCost records the price of a larger model's engine time for the log.
func (x *run) recordPriceCost(h *headEstimate) {
	t := &x.records[len(x.records)-1]
	t.PriceCost = max(t.PriceCost, h.price)
}

// recordNotAsked records that a larger model was not asked as its answer would not end or for its price.
func (x *run) recordNotAsked(h *headEstimate) {
	if !h.mayEnd() {
		x.e.metrics.count("larger_models_not_asked", x.route.Name, "would_not_end")
		return
	}
	x.recordPriceCost(h)
	x.countTooExpensive()
}

// chooseSize returns the index in list of the model to ask, as sizes.Choose does. It records in t the price cost
// of the model that would be asked if engine time were free. estimates holds what is expected of the models
// after the first one, in the order of the list. The caller must hold the engine's mu.
func (x *run) chooseSize(t *attemptRecord, list []sizes.Model, estimates []headEstimate) int {
	next, keep, asks := sizes.Choose(list)
	t.GoodProb, t.KeepWorth, t.AskWorth = list[0].GoodProb, keep, asks
	x.countWouldNotEnd(list, next)
	priced := false
	for i, h := range estimates {
		priced = priced || h.price > 0
		list[i+1].Cost -= h.price
	}
	if !priced {
		return next
	}
	free, _, _ := sizes.Choose(list)
	if free == 0 {
		return next
	}
	t.PriceCost = estimates[free-1].price
	if free > next {
		x.countTooExpensive()
	}
	return next
}

// countTooExpensive counts a larger model that was not asked for the price of its engine time.
func (x *run) countTooExpensive() {
	x.e.metrics.count("larger_models_not_asked", x.route.Name, "price")
}

// observeWait records for the price of engine time how long, in seconds, an attempt of a route waited at
// its endpoint apart from reading its prompt; the base is subtracted. Attempts that waited while this process
// stood still, and those of ignoresWait, are left out. The caller must hold the engine's mu.
func (e *Engine) observeWait(a *Attempt, route *Route, wait float64, now time.Time) {
	if e.ignoresWait(a, route) || e.stalls.Resuming(seconds(max(wait, 0)+a.readTime)) {
		return
	}
	aim := time.Duration(route.Aim).Seconds()
	base := getOrCreate(e.priceOf(a.Endpoint.Service).bases, timingKey(route, a.Model))
	if a.gotHead {
		base.add(max(wait, minBase), baseQuantile)
	}
	e.addWait(a, (wait-min(base.value, maxBase*aim))/aim, now)
}

// ignoresWait reports whether the wait of an attempt says nothing of the price: that at an endpoint that
// warms up or has a version on trial, that of a route without prompts, which buys no larger models, or
// without a target, and all where the price is not in use. The caller must hold mu.
func (e *Engine) ignoresWait(a *Attempt, route *Route) bool {
	if a.warming || !route.Affinity || route.Aim <= 0 || !e.enabled(EnginePrice, a.Endpoint.Service) {
		return true
	}
	r := e.activeTrial(a.Endpoint.Service)
	return r != nil && r.isNew(&a.Endpoint)
}

// addWait adds the wait of an attempt as a fraction of its target. The caller must hold mu.
func (e *Engine) addWait(a *Attempt, fraction float64, now time.Time) {
	e.priceOf(a.Endpoint.Service).price.Observe(now, fraction)
}

// observeFailedWait records the wait of an attempt that ended without a head, which is at least the time
// from sending it. An endpoint that has answered nothing since then may be silent, which is no load: only
// the wait counts that was expected there. A rejection counts as a whole target, unless the endpoint leaves
// or rests. The caller must hold mu.
func (e *Engine) observeFailedWait(a *Attempt, route *Route, err *fault.Error, t *attemptRecord, now time.Time) {
	p := e.book.Get(a.Endpoint.ID)
	if p == nil || a.gotHead || notSent(err) || e.ignoresWait(a, route) {
		return
	}
	if err.Kind == fault.Overloaded {
		if !p.IsLeaving() && !now.Before(p.RestUntil()) {
			e.addWait(a, rejectedWait, now)
		}
		return
	}
	if err.Run == fault.NotRun {
		return
	}
	wait := now.Sub(t.At).Seconds() - a.readTime
	if !p.Trust.LastSuccess().After(t.At) && t.Status == 0 {
		wait = min(wait, a.wait)
	}
	e.observeWait(a, route, wait, now)
}

// endpointsServing returns the number of endpoints among which the prompts of a service are divided: where
// the price is in use those that may get work, otherwise all. The caller must hold mu.
func (e *Engine) endpointsServing(service string, now time.Time) int {
	if !e.enabled(EnginePrice, service) {
		return e.book.Size(service)
	}
	l := e.priceOf(service)
	if l.servingAt.IsZero() || now.Sub(l.servingAt) >= servingRefresh {
		l.serving, l.servingAt = e.book.Serving(service, now), now
	}
	return l.serving
}

// updatePriceGauges updates the gauges of all services with contention.
func (e *Engine) updatePriceGauges() {
	now := e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.prices {
		l.priceGauge.Update(l.price.Price(now))
		l.waitGauge.Update(l.price.MeanWait(now))
	}
}

// contentionFields returns the log fields of a request that was served while the price was above 0.
func (x *run) contentionFields() []zap.Field {
	var f []zap.Field
	if x.price > 0 {
		f = append(f, zap.Float64("price", round(x.price)))
	}
	return f
}
