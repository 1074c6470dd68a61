// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
)

// TestNamedSessions races the first uses of session names at two entries that may choose
// different versions, as a change of price is being distributed. Each name keeps one version,
// but for answers that say that the platform did not store the name in time; these have a
// token. While the platform is down a new name gets a token only, and the answer says so.
func TestNamedSessions(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(2)})
	costlier := strings.Replace(testSettings, `"1": {pool: mapcore, cost: 2`, `"1": {pool: mapcore, cost: 20`, 1)
	named := func(entry int, name string) drive.Answer {
		a := chat("tags", "lot", false)
		a.Header["Traildrift-Session"] = name
		got, err := f.Caller(entry, testKey).Do(a)
		if r := result(got, err); r != "whole" {
			t.Errorf("%s: got %s, want whole", name, r)
		}
		return got
	}
	seen := raceSessionNames(t, f, named, costlier)
	for name, versions := range seen {
		if len(versions) != 1 {
			t.Errorf("%s: got models %v, want one", name, versions)
		}
		if got := untilKept(t, named, 1, name); !versions[got.Model] {
			t.Errorf("%s later: got model %s, want %v", name, got.Model, versions)
		}
	}
	untilKept(t, named, 0, "name0")
	f.Objects.Set(fakes.Faults{Down: true})
	if got := named(0, "name0"); !seen["name0"][got.Model] || got.SessionNotKept {
		t.Errorf("a known name while the platform is down: got %s %v, want %v kept", got.Model, got.SessionNotKept, seen["name0"])
	}
	if got := named(0, "unheard of"); !got.SessionNotKept || got.Session == "" {
		t.Errorf("a new name while the platform is down: got kept %v and token %q, want a token alone", !got.SessionNotKept, got.Session)
	}
}

// untilKept repeats a request until the answer says that the session's name is kept, and returns that answer.
func untilKept(t *testing.T, named func(int, string) drive.Answer, entry int, name string) drive.Answer {
	t.Helper()
	for range 20 {
		if got := named(entry, name); !got.SessionNotKept {
			return got
		}
	}
	t.Fatalf("%s at entry %d: not kept after 20 answers", name, entry)
	return drive.Answer{}
}

// raceSessionNames uses each of ten names four times at the same time, at both entries, and
// returns the models of the answers that kept each name. The others have a token.
func raceSessionNames(t *testing.T, f *Fleet, named func(int, string) drive.Answer, costlier string) map[string]map[string]bool {
	t.Helper()
	var mu sync.Mutex
	seen := map[string]map[string]bool{}
	var wg sync.WaitGroup
	for i := range 40 {
		name := fmt.Sprint("name", i/4)
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := named(i%2, name)
			mu.Lock()
			defer mu.Unlock()
			if seen[name] == nil {
				seen[name] = map[string]bool{}
			}
			if !got.SessionNotKept {
				seen[name][got.Model] = true
			} else if got.Session == "" {
				t.Errorf("%s: got an answer that keeps neither the name nor has a token", name)
			}
		}()
		if i == 20 {
			if _, err := f.Apply(costlier, "test"); err != nil {
				t.Fatal(err)
			}
		}
	}
	wg.Wait()
	return seen
}
