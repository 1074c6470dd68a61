// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package usage

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

func TestClock(t *testing.T) {
	c := Clock{Length: config.Span(5 * time.Second)}
	for _, v := range []struct {
		at   time.Time
		want Window
	}{
		{time.Unix(0, 0), 0}, {time.Unix(4, 999_999_999), 0}, {time.Unix(5, 0), 1}, {time.Unix(-1, 0), -1}, {time.Unix(-5, 0), -1},
	} {
		got := c.At(v.at)
		if got != v.want {
			t.Errorf("window of %v: got %d, want %d", v.at, got, v.want)
		}
		if end := c.End(got); !v.at.Before(end) || v.at.Before(end.Add(-5*time.Second)) {
			t.Errorf("window %d of %v: got the end %v", got, v.at, end)
		}
	}
}

// Whether reports are reordered, lost, duplicated or late: the final ones of all routers add up to
// what these counted, and a router is missing until all its counts are known.
func TestReportsAddUp(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		const now = Window(100)
		receiver := NewCounter()
		truth := make(Counts)
		var reports []Report
		routers := []string{"a", "b", "c"}
		for incarnation, name := range routers {
			own, reporter := NewCounter(), Reporter{name, uint64(incarnation)}
			for range rnd.IntN(40) {
				workspace := string(rune('v' + rnd.IntN(4)))
				own.Add(reporter, now, workspace)
				truth[workspace]++
				if rnd.IntN(4) == 0 {
					reports = append(reports, own.Report(reporter, now, false))
				}
			}
			reports = append(reports, own.Report(reporter, now, true))
		}
		rnd.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		for _, r := range reports {
			if r.Final && len(receiver.Missing(now, []string{r.Reporter.Router})) == 0 {
				t.Fatalf("seed %d: %s is not missing before its final report", seed, r.Reporter.Router)
			}
			for range 1 + rnd.IntN(2) {
				receiver.Merge(r, now)
			}
		}
		if got := receiver.Missing(now, routers); len(got) != 0 {
			t.Errorf("seed %d: missing at the end: got %v, want none", seed, got)
		}
		if got := receiver.Sum(now); !maps.Equal(got, truth) {
			t.Errorf("seed %d: got %v, want %v", seed, got, truth)
		}
	}
}

// An incarnation that ended without a final report keeps its router missing, and the counts that it
// reported are summed.
func TestIncarnationsCountSeparately(t *testing.T) {
	c := NewCounter()
	c.Merge(Report{Reporter: Reporter{"a", 1}, Window: 7, Counts: Counts{"w": 3}}, 7)
	c.Merge(Report{Reporter: Reporter{"a", 2}, Window: 7, Final: true, Total: 2, Counts: Counts{"w": 2}}, 7)
	if got := c.Sum(7)["w"]; got != 5 {
		t.Errorf("sum: got %d, want 5", got)
	}
	if got := c.Missing(7, []string{"a"}); len(got) != 1 {
		t.Errorf("missing: got %v, want a", got)
	}
}

// A report that is sent in parts is complete once all parts have been merged.
func TestPartsOfAReport(t *testing.T) {
	c, a := NewCounter(), Reporter{"a", 1}
	c.Merge(Report{Reporter: a, Window: 7, Final: true, Total: 5, Counts: Counts{"v": 2}}, 7)
	if c.Complete(a, 7) {
		t.Error("complete after one part of two")
	}
	c.Merge(Report{Reporter: a, Window: 7, Final: true, Total: 5, Counts: Counts{"w": 3}}, 7)
	if !c.Complete(a, 7) {
		t.Error("not complete after both parts")
	}
}

// Memory is bounded: windows far from the current one are not stored, and old ones expire.
func TestCounterIsBounded(t *testing.T) {
	c, a := NewCounter(), Reporter{"a", 1}
	for _, w := range []Window{100 - maxWindows, 102, -1 << 40} {
		c.Merge(Report{Reporter: a, Window: w, Counts: Counts{"w": 1}}, 100)
		if got := c.Sum(w).Sum(); got != 0 {
			t.Errorf("window %d: got %d requests, want none", w, got)
		}
	}
	for w := range Window(100) {
		c.Add(a, w, "w")
		c.Expire(w)
	}
	if got := len(c.windows); got > maxWindows {
		t.Errorf("windows: got %d, want %d at most", got, maxWindows)
	}
}
