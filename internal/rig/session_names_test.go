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

// TestNamedSessions races the first use of session names at entries that choose
// differently, since a change of price is under way: each name keeps one
// version. While the platform is down a new name gets a token only, and the
// answer says so.
func TestNamedSessions(t *testing.T) {
	f := startFleet(t, Options{Entries: 2, Pools: testPools(2)})
	dearer := strings.Replace(testSettings, `"1": {pool: mapcore, cost: 2`, `"1": {pool: mapcore, cost: 20`, 1)
	named := func(entry int, name string) drive.Answer {
		a := chat("tags", "lot", false)
		a.Header["Traildrift-Session"] = name
		got, err := f.Caller(entry, testKey).Do(a)
		if r := result(got, err); r != "whole" {
			t.Errorf("%s: got %s, want whole", name, r)
		}
		return got
	}
	seen := raceSessionNames(t, f, named, dearer)
	for name, versions := range seen {
		if len(versions) != 1 {
			t.Errorf("%s: got models %v, want one", name, versions)
		}
		got := named(1, name)
		if !seen[name][got.Model] {
			t.Errorf("%s later: got model %s, want %v", name, got.Model, seen[name])
		}
	}
	f.Objects.Set(fakes.Faults{Down: true})
	if got := named(0, "name0"); !seen["name0"][got.Model] || got.Unkept {
		t.Errorf("a known name while the platform is down: got %s %v, want %v kept", got.Model, got.Unkept, seen["name0"])
	}
	if got := named(0, "unheard of"); !got.Unkept || got.Session == "" {
		t.Errorf("a new name while the platform is down: got kept %v and token %q, want a token alone", !got.Unkept, got.Session)
	}
}

// raceSessionNames uses each of ten names four times, at both entries, and returns the
// models that each was served by.
func raceSessionNames(t *testing.T, f *Fleet, named func(int, string) drive.Answer, dearer string) map[string]map[string]bool {
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
			seen[name][got.Model] = true
		}()
		if i == 20 {
			if _, err := f.Apply(dearer, "test"); err != nil {
				t.Fatal(err)
			}
		}
	}
	wg.Wait()
	return seen
}
