// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// metrics holds the metrics of the package.
type metrics struct {
	scope tally.Scope
	// These gauges hold the present number of requests under way, the time since the table was
	// confirmed in seconds, the numbers of known endpoints and of those that warm up, that have
	// named a limit and that have asked for rest, the number of closed availability zones and the
	// number of routers that may send.
	active, age, endpoints, warming, limited, resting, closed, routers tally.Gauge
	// suspects is the number of requests under which endpoints crashed, quarantined that of those
	// that are no longer sent to endpoints. suspectParts and quarantinedParts are those of parts of
	// prompts.
	suspects, quarantined, suspectParts, quarantinedParts tally.Gauge
	// mu guards the maps, which hold one metric for each name and set of tags.
	mu       sync.Mutex
	counters map[metricKey]tally.Counter
	times    map[string]tally.Histogram
}

// metricKey is the name of a counter with its tags.
type metricKey struct{ name, route, outcome string }

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("relay")
	return metrics{
		scope: s, active: s.Gauge("under_way"), age: s.Gauge("configuration_age_seconds"), endpoints: s.Gauge("endpoints"),
		warming: s.Gauge("endpoints_warming"), limited: s.Gauge("endpoints_limited"), resting: s.Gauge("endpoints_resting"), closed: s.Gauge("zones_closed"), routers: s.Gauge("routers"),
		suspects: s.Gauge("requests_suspected"), quarantined: s.Gauge("requests_quarantined"),
		suspectParts: s.Gauge("parts_suspected"), quarantinedParts: s.Gauge("parts_quarantined"),
		counters: make(map[metricKey]tally.Counter), times: make(map[string]tally.Histogram),
	}
}

// latencyBuckets are the upper bounds of the histogram buckets, 5 ms to about 20 s.
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

// logLimits limits the rate of log lines. For a request either all lines are logged or none.
type logLimits struct {
	ended, failed *rate.Limiter
	// stopped limits requests that failed while the router stopped, beyond those that failed allows.
	// unloggedStops counts those left out.
	stopped       *rate.Limiter
	unloggedStops atomic.Int64
	// crashes limits requests that are logged for a crash of their endpoint.
	crashes *rate.Limiter
	// unannounced limits requests that ended as endsUnannounced tells, beyond those that the others allow.
	unannounced *rate.Limiter
	// notices limits changes in the notices of endpoints.
	notices *rate.Limiter
}

const (
	// endedLogsPerSecond and failedLogsPerSecond are the maximum numbers of requests a second that
	// one router logs, those that succeeded and those that failed. In normal operation there are 25
	// a second.
	endedLogsPerSecond  = 60
	failedLogsPerSecond = 60
	// maxStopLogs is the maximum number of failed requests that one router logs in its stop beyond
	// failedLogsPerSecond. Their lines, two for most, fit the queue of the logger.
	maxStopLogs = 800
	// crashLogsPerSecond is the maximum number of requests a second that are logged for a crash of
	// their endpoint: as many as three busy endpoints run.
	crashLogsPerSecond = 200
	// noticeLogsPerSecond is the maximum number of logged changes a second in the notices of
	// endpoints. An endpoint that names another limit in each answer would fill the log.
	noticeLogsPerSecond = 50
)

func (l *logLimits) init() {
	l.ended = rate.NewLimiter(endedLogsPerSecond, endedLogsPerSecond)
	l.failed = rate.NewLimiter(failedLogsPerSecond, failedLogsPerSecond)
	l.stopped = rate.NewLimiter(0, maxStopLogs)
	l.unannounced = rate.NewLimiter(endedLogsPerSecond, endedLogsPerSecond)
	l.notices = rate.NewLimiter(noticeLogsPerSecond, noticeLogsPerSecond)
	l.crashes = rate.NewLimiter(crashLogsPerSecond, crashLogsPerSecond)
}

// allow reports whether the lines of a request are logged that ended at now.
func (l *logLimits) allow(now time.Time, failed, stopping bool) bool {
	switch {
	case !failed:
		return l.ended.AllowN(now, 1)
	case l.failed.AllowN(now, 1):
		return true
	case !stopping:
		return false
	case l.stopped.AllowN(now, 1):
		return true
	default:
		l.unloggedStops.Add(1)
		return false
	}
}

// jitter returns a duration from 0 to less than d that draw determines.
func jitter(draw uint64, d time.Duration) time.Duration { return time.Duration(draw % uint64(d)) }
