// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package share divides the capacity of a service among workspaces by max-min fairness.
//
// A Table measures what each workspace demands and what is served in all. Where the demand exceeds what is
// served, there is a level such that the sum over the workspaces of the smaller of demand and level equals
// what is served. Demand up to the level is within a workspace's share. An excess of up to a tenth of what is
// served counts as none, and what is within a share is exact to a twentieth and one request per 5 s. The unit of
// demand is the caller's: seconds of engine time, or requests. The package reads no clock and takes no lock.
package share

import (
	"math"
	"time"
)

const (
	// window is the time, in seconds, in which the weight of past demand falls to 1/e. A router sees a few
	// requests a second of all workspaces together, and an excess lasts some seconds.
	window = 5
	// maxCounted is the number of workspaces that are counted individually. Only a workspace with more than
	// the mean demand can be over its share; a decision looks at all that are counted.
	maxCounted = 64
	// maxCredit and maxDebt bound the credit of a workspace, in seconds of demand at the level. The credit
	// lets a burst of 2 s pass that a caller would hardly notice. The debt lets a single large request count
	// for as long as its demand is remembered.
	maxCredit = 2
	maxDebt   = window
	// slack is the excess of the demand, as a fraction of what is served, up to which nothing is over: what
	// is under way is demanded and not served yet, and waits of a third of a second make it 7 %.
	slack = 0.1
	// minHistory is how long, in seconds, a table measures before anything is over: at first, single
	// requests under way are much of the demand. A price takes about as long to rise.
	minHistory = 2
	// levelAge is how long, in seconds, a level is used: the demand changes by up to a fiftieth.
	levelAge = 0.1
)

// Table holds the demand of the workspaces of a service and what is served of it. The zero value is empty.
// A Table is not safe for concurrent use. A time before that of an earlier call counts as that of the
// earlier call.
type Table struct {
	// counted holds the first n workspaces, in no order. Their keys are unique.
	counted [maxCounted]workspace
	n       int
	// others is the demand of all workspaces that are not counted, largest the greatest that one of them had
	// when it was last counted, and served what is served. They decay as the demand does.
	others, largest, served float64
	// level is the level computed at levelAt, in units a second; infinite where everything is served.
	level   float64
	levelAt time.Time
	// startedAt is the time of the first use, at that to which the table has advanced; zero before.
	startedAt, at time.Time
}

// workspace is a workspace that is counted individually.
type workspace struct {
	key uint64
	// demand is the decayed sum of the demand; credit is what may still be used, in seconds at the level.
	demand, credit float64
}

// AddDemand adds demand of the workspace with a key. Demand that is not a positive number is ignored.
func (t *Table) AddDemand(now time.Time, key uint64, amount float64) {
	if !valid(amount) {
		return
	}
	t.advance(now)
	t.count(key).demand += amount
}

// AddServed adds what was served of the demand of all workspaces.
func (t *Table) AddServed(now time.Time, amount float64) {
	if !valid(amount) {
		return
	}
	t.advance(now)
	t.served += amount
}

// Use takes demand that is within the share of a workspace from its credit. It is to be called while
// requests wait for capacity only, as nothing else counts against a share.
func (t *Table) Use(now time.Time, key uint64, amount float64) {
	if !valid(amount) {
		return
	}
	t.advance(now)
	w := t.find(key)
	if w == nil {
		return
	}
	if level := t.Level(now); level > 0 {
		w.credit = max(w.credit-amount/level, -maxDebt)
	}
}

// IsOver reports whether a request of a workspace is over its share. scarce says that requests wait for
// capacity; otherwise nothing is over. The decision does not depend on the size of the request.
func (t *Table) IsOver(now time.Time, key uint64, scarce bool) bool {
	t.advance(now)
	if !scarce {
		return false
	}
	w := t.find(key)
	return w != nil && w.credit <= 0 && w.demand > t.Level(now)*window
}

// Level returns the demand per second up to which a workspace is within its share; infinite where all
// demand is served.
func (t *Table) Level(now time.Time) float64 {
	t.advance(now)
	if t.levelAt.IsZero() || t.at.Sub(t.levelAt).Seconds() >= levelAge {
		t.level, t.levelAt = t.computeLevel()/window, t.at
	}
	return t.level
}

// computeLevel returns the level in units of the decayed sums. A workspace that is not counted has no more
// than the largest that was replaced, so that a level of at least this marks none below its level.
func (t *Table) computeLevel() float64 {
	sum := t.others
	for i := range t.counted[:t.n] {
		sum += t.counted[i].demand
	}
	if sum <= t.served*(1+slack) || t.at.Sub(t.startedAt).Seconds() < minHistory {
		return math.Inf(1)
	}
	rest, n, level := t.served-t.others, t.n, 0.0
	for below := 0; ; {
		if n == below {
			return math.Inf(1)
		}
		level = max(rest, 0) / float64(n-below)
		left, found := t.served-t.others, 0
		for i := range t.counted[:n] {
			if d := t.counted[i].demand; d <= level {
				left -= d
				found++
			}
		}
		if found == below {
			return max(level, t.largest)
		}
		rest, below = left, found
	}
}

// valid reports whether an amount is a positive finite number.
func valid(amount float64) bool { return amount > 0 && !math.IsInf(amount, 1) }

// find returns a workspace that is counted individually, or nil.
func (t *Table) find(key uint64) *workspace {
	for i := range t.counted[:t.n] {
		if t.counted[i].key == key {
			return &t.counted[i]
		}
	}
	return nil
}

// count returns the workspace with a key, which is counted individually from now on. If there is no place,
// the workspace with the least demand gives up its own.
func (t *Table) count(key uint64) *workspace {
	if w := t.find(key); w != nil {
		return w
	}
	if t.n < maxCounted {
		t.n++
		t.counted[t.n-1] = workspace{key: key, credit: maxCredit}
		return &t.counted[t.n-1]
	}
	least := &t.counted[0]
	for i := range t.counted {
		if t.counted[i].demand < least.demand {
			least = &t.counted[i]
		}
	}
	t.others += least.demand
	t.largest = max(t.largest, least.demand)
	*least = workspace{key: key, credit: maxCredit}
	return least
}

// advance applies the time since the last call.
func (t *Table) advance(now time.Time) {
	if t.at.IsZero() {
		t.at, t.startedAt = now, now
	}
	d := now.Sub(t.at).Seconds()
	if d <= 0 {
		return
	}
	t.at = now
	f := math.Exp(-d / window)
	t.others, t.largest, t.served = t.others*f, t.largest*f, t.served*f
	for i := range t.counted[:t.n] {
		w := &t.counted[i]
		w.demand *= f
		w.credit = min(w.credit+d, maxCredit)
	}
}

// Demand returns the decayed sum of the demand of a workspace; 0 if it is not counted individually.
func (t *Table) Demand(now time.Time, key uint64) float64 {
	t.advance(now)
	if w := t.find(key); w != nil {
		return w.demand
	}
	return 0
}
