// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// metrics are the core's metrics.
type metrics struct {
	scope tally.Scope
	// These are what the router believes now: the requests active way, the age of the
	// table's proof in seconds, the known endpoints, those of them that warm up, that named
	// a limit and that asked for rest, the closed availability zones and the routers that may send.
	active, age, endpoints, warming, limited, resting, closed, routers tally.Gauge
	// suspects and quarantined are requests under which endpoints crashed, and those of them
	// that are not sent to any more.
	suspects, quarantined tally.Gauge
	// mu guards the maps, which hold one metric for each set of tags.
	mu       sync.Mutex
	counters map[metricKey]tally.Counter
	times    map[string]tally.Histogram
}

// metricKey names a counter with its tags.
type metricKey struct{ name, route, outcome string }

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("relay")
	return metrics{
		scope: s, active: s.Gauge("under_way"), age: s.Gauge("configuration_age_seconds"), endpoints: s.Gauge("endpoints"),
		warming: s.Gauge("endpoints_warming"), limited: s.Gauge("endpoints_limited"), resting: s.Gauge("endpoints_resting"), closed: s.Gauge("zones_closed"), routers: s.Gauge("routers"),
		suspects: s.Gauge("requests_suspected"), quarantined: s.Gauge("requests_quarantined"),
		counters: make(map[metricKey]tally.Counter), times: make(map[string]tally.Histogram),
	}
}

// latencyBuckets are the upper bounds of the histograms, 5 ms to about 20 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

func (c *metrics) count(name, route, outcome string) {
	key := metricKey{name, route, outcome}
	c.mu.Lock()
	counter, ok := c.counters[key]
	if !ok {
		counter = c.scope.Tagged(map[string]string{"route": route, "outcome": outcome}).Counter(name)
		c.counters[key] = counter
	}
	c.mu.Unlock()
	counter.Inc(1)
}

func (c *metrics) time(name, route string, d time.Duration) {
	key := name + " " + route
	c.mu.Lock()
	h, ok := c.times[key]
	if !ok {
		h = c.scope.Tagged(map[string]string{"route": route}).Histogram(name, latencyBuckets)
		c.times[key] = h
	}
	c.mu.Unlock()
	h.RecordDuration(d)
}

// logLimits decides which requests are logged: all of a request's logLimits or none.
type logLimits struct {
	ended, failed *rate.Limiter
	// crashes is for requests under which endpoints crashed.
	crashes *rate.Limiter
	// notices is for what endpoints said of themselves.
	notices *rate.Limiter
}

const (
	// endedLogsPerSecond and failedPerSecond bound the requests of one router that
	// are logged, those that failed apart. A calm day has 25 a second.
	endedLogsPerSecond  = 60
	failedLogsPerSecond = 60
	// crashLogsPerSecond bounds the requests that it tells endpoints crashed under: three crashes of
	// busy ones.
	crashLogsPerSecond = 200
	// noticeLogsPerSecond bounds the changes that it tells of what endpoints said of themselves: one that
	// names another limit in each answer would fill the log.
	noticeLogsPerSecond = 50
)

func (l *logLimits) init() {
	l.ended = rate.NewLimiter(endedLogsPerSecond, endedLogsPerSecond)
	l.failed = rate.NewLimiter(failedLogsPerSecond, failedLogsPerSecond)
	l.notices = rate.NewLimiter(noticeLogsPerSecond, noticeLogsPerSecond)
	l.crashes = rate.NewLimiter(crashLogsPerSecond, crashLogsPerSecond)
}

func (l *logLimits) allow(now time.Time, failed bool) bool {
	if failed {
		return l.failed.AllowN(now, 1)
	}
	return l.ended.AllowN(now, 1)
}

// draw returns a random number.
func (e *Engine) draw() uint64 { return rand.Uint64() }

// jitter returns a part of d that draw determines.
func jitter(draw uint64, d time.Duration) time.Duration { return time.Duration(draw % uint64(d)) }
