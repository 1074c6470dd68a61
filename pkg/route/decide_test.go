// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/traildrift/traildrift/internal/draws"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"

	"os"
)

func TestMain(m *testing.M) {
	draws.FixSeed()
	os.Exit(m.Run())
}

func share(x float64) *float64 { return &x }

// versions returns the candidates of the tests, in the order of Expand.
func versions() []config.Candidate {
	specs := []struct {
		model, version string
		spec           config.Version
	}{
		{"cheap", "1", config.Version{Pool: "a", Cost: 1, Quality: 0.7}},
		{"dear", "1", config.Version{Pool: "b", Cost: 9, Quality: 0.95}},
		{"dear", "2", config.Version{Pool: "b", Cost: 8, Quality: 0.95, State: config.StateWithdrawn}},
		{"middle", "1", config.Version{Pool: "c", Cost: 4, Quality: 0.85}},
		{"middle", "2", config.Version{Pool: "c", Cost: 3, Quality: 0.85, Share: share(0.25)}},
	}
	var out []config.Candidate
	for _, s := range specs {
		out = append(out, config.Candidate{Model: s.model, Version: s.version, Name: s.model + "@" + s.version, Spec: s.spec})
	}
	return out
}

// settings returns the effective settings of a workload with the given values.
func settings(t testing.TB, values string) *config.Effective {
	t.Helper()
	f, err := config.ParseFile("t", []byte("models: {m: {versions: {\"1\": {pool: p, cost: 1, quality: 1}}}}\nworkspaces: {w: {keyHashes: [], values: {allow: [m]}, workloads: {l: {values: {"+values+"}}}}}\n"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := config.Preview(f.Nodes())
	if err != nil {
		t.Fatal(err)
	}
	return s.Effective("w", "l", "")
}

func endpoint(vm, pool string, running int) Endpoint {
	return Endpoint{VM: vm, Pool: pool, AvailabilityZone: "z", Slots: 10, Running: running, Usable: true}
}

func TestDecide(t *testing.T) {
	all := NewView([]Endpoint{endpoint("a1", "a", 0), endpoint("b1", "b", 0), endpoint("c1", "c", 0)})
	noB := NewView([]Endpoint{endpoint("a1", "a", 0), endpoint("c1", "c", 0)})
	lacks := NewView([]Endpoint{{VM: "c1", Pool: "c", Slots: 1, Usable: true, Versions: []string{"middle@1"}}})
	tests := []struct {
		name   string
		values string
		req    Request
		view   View
		want   string
		kind   fault.Kind
		reason Reason
	}{
		{"lowest cost that meets the quality target", "qualityTarget: 0.8", Request{Draw: 0.5}, all, "middle@1", "", BelowQualityTarget},
		{"lower quality target", "qualityTarget: 0.5", Request{Draw: 0.5}, all, "cheap@1", "", Chosen},
		{"higher quality target", "qualityTarget: 0.9", Request{Draw: 0.5}, all, "dear@1", "", BelowQualityTarget},
		{"draw below the roll-out share", "qualityTarget: 0.8", Request{Draw: 0.2}, all, "middle@2", "", BelowQualityTarget},
		{"cost limit", "qualityTarget: 0.9, maxCost: 5", Request{Draw: 0.5}, all, "", fault.NoVersion, BelowQualityTarget},
		{"request names a model", "qualityTarget: 0.5", Request{Model: "dear", Draw: 0.5}, all, "dear@1", "", NotRequested},
		{"request names a model that is not allowed", "qualityTarget: 0.5", Request{Model: "other"}, all, "", fault.NotAllowed, NotRequested},
		{"session below the quality target", "qualityTarget: 0.9", Request{Model: "cheap", Version: "1", Pinned: true}, all, "cheap@1", "", Chosen},
		{"session beyond the roll-out share", "qualityTarget: 0.5", Request{Model: "middle", Version: "2", Pinned: true, Draw: 0.9}, all, "middle@2", "", NotSessionVersion},
		{"version of the session withdrawn", "qualityTarget: 0.5", Request{Model: "dear", Version: "2", Pinned: true}, all, "", fault.VersionWithdrawn, NotSessionVersion},
		{"pool without endpoints", "qualityTarget: 0.9", Request{Draw: 0.5}, noB, "", fault.NoVersion, BelowQualityTarget},
		{"version that no endpoint has loaded", "qualityTarget: 0.8", Request{Draw: 0.1}, lacks, "middle@1", "", BelowQualityTarget},
		{"latency weight", "qualityTarget: 0.5, weightLatency: 100", Request{Draw: 0.5}, NewView([]Endpoint{endpoint("a1", "a", 9), endpoint("c1", "c", 0)}), "middle@1", "", HigherScore},
	}
	for _, tt := range tests {
		var d Decision
		Decide(&d, settings(t, tt.values), versions(), &tt.req, &tt.view)
		got := ""
		if d.Kind == "" {
			got = d.Model + "@" + d.Version
		}
		if got != tt.want || d.Kind != tt.kind || d.Candidates[0].Reason != tt.reason {
			t.Errorf("%s: got %q %q with cheap@1 %s, want %q %q %s", tt.name, got, d.Kind, d.Candidates[0].Reason, tt.want, tt.kind, tt.reason)
		}
	}
}

// TestDecideDeterministic checks that equal inputs give equal decisions, and that
// a decision never names an endpoint that is unusable, of another pool or to be
// avoided.
func TestDecideDeterministic(t *testing.T) {
	e := settings(t, "qualityTarget: 0.5")
	rapid.Check(t, func(t *rapid.T) {
		var endpoints []Endpoint
		for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
			p := endpoint(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "pool"), rapid.IntRange(0, 20).Draw(t, "running"))
			p.Usable = rapid.Bool().Draw(t, "usable")
			endpoints = append(endpoints, p)
		}
		v := NewView(endpoints)
		req := Request{Seed: rapid.Uint64().Draw(t, "seed"), Draw: rapid.Float64Range(0, 0.99).Draw(t, "draw")}
		if n := len(endpoints); n > 0 {
			req.Avoid = rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 4).Draw(t, "avoid")
		}
		var a, b Decision
		Decide(&a, e, versions(), &req, &v)
		Decide(&b, e, versions(), &req, &v)
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("got %v and %v from the same inputs", a, b)
		}
		if (a.Kind == "") != (a.Endpoint >= 0) {
			t.Fatalf("got kind %q with endpoint %d", a.Kind, a.Endpoint)
		}
		if a.Kind != "" {
			return
		}
		p := endpoints[a.Endpoint]
		for _, i := range req.Avoid {
			if i == a.Endpoint {
				t.Fatalf("chose endpoint %d, which is to be avoided", i)
			}
		}
		if !p.Usable || p.Pool != a.Pool {
			t.Fatalf("chose endpoint %+v for pool %s, want a usable endpoint of the pool", p, a.Pool)
		}
	})
}

// TestPickSpread checks that requests spread about evenly over equally loaded
// endpoints and that a loaded one gets fewer: it is chosen only if both draws
// name it, in 1 of 9 cases.
func TestPickSpread(t *testing.T) {
	v := NewView([]Endpoint{endpoint("1", "p", 0), endpoint("2", "p", 0), endpoint("3", "p", 10)})
	counts := make([]int, 3)
	const draws = 30_000
	for seed := range uint64(draws) {
		var d Decision
		DecideService(&d, "p", &Request{Seed: seed * 7919, AvailabilityZone: "z"}, &v)
		counts[d.Endpoint]++
	}
	if counts[0] < draws*2/5 || counts[1] < draws*2/5 || counts[2] < draws/20 || counts[2] > draws/7 {
		t.Errorf("got %v of %d, want about 4/9, 4/9 and 1/9", counts, draws)
	}
}

// TestNoAllocation checks that a decision does not allocate once its destination
// has the capacity.
func TestNoAllocation(t *testing.T) {
	e, cs, v := largeInputs(t, 64, 100)
	var d Decision
	req := Request{Draw: 0.5}
	if got := testing.AllocsPerRun(100, func() { req.Seed++; Decide(&d, e, cs, &req, &v) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}

// largeInputs returns inputs of Decide with the given numbers of candidates and
// endpoints in 8 pools.
func largeInputs(t testing.TB, candidates, endpoints int) (*config.Effective, []config.Candidate, View) {
	cs := make([]config.Candidate, candidates)
	for i := range cs {
		name := fmt.Sprint(i)
		cs[i] = config.Candidate{Model: "m", Version: name, Name: "m@" + name, Spec: config.Version{Pool: fmt.Sprint("p", i%8), Cost: float64(i%13) + 1, Quality: 0.9}}
	}
	var all []Endpoint
	for i := range endpoints {
		all = append(all, endpoint(fmt.Sprint(i), fmt.Sprint("p", i%8), i%10))
	}
	return settings(t, "qualityTarget: 0.5, weightLatency: 1"), cs, NewView(all)
}

func BenchmarkDecide(b *testing.B) {
	for _, candidates := range []int{4, 16, 64} {
		for _, endpoints := range []int{4, 60, 350, 1400} {
			b.Run(fmt.Sprintf("candidates=%d/endpoints=%d", candidates, endpoints), func(b *testing.B) {
				e, cs, v := largeInputs(b, candidates, endpoints)
				var d Decision
				req := Request{Draw: 0.5}
				b.ReportAllocs()
				for b.Loop() {
					req.Seed++
					Decide(&d, e, cs, &req, &v)
				}
			})
		}
	}
}

// TestDecidingSetting checks that a reason names a setting only if a change of the setting can change
// the reason. Guards against an operator who is sent to the allowed models where a version is
// withdrawn, outside its share or without an endpoint.
func TestDecidingSetting(t *testing.T) {
	for reason, want := range map[Reason]string{
		Chosen: "weightCost", HigherScore: "weightCost", NotSessionVersion: "sessionFor", OverMaxCost: "maxCost", BelowQualityTarget: "qualityTarget",
		NotRequested: "", Withdrawn: "", OverShare: "", NoUsableEndpoint: "",
	} {
		if got := reason.Setting(); got != want {
			t.Errorf("%s: got the setting %q, want %q", reason, got, want)
		}
	}
}
