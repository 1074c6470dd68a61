// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package route

import (
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Reason says what became of a candidate version.
type Reason string

// The closed list of reasons.
const (
	Chosen       Reason = "chosen"
	Dearer       Reason = "higherScore"
	NotAsked     Reason = "notAskedFor"
	NotInSession Reason = "notTheSessionsVersion"
	Withdrawn    Reason = "withdrawn"
	TooDear      Reason = "overMaxCost"
	TooPoor      Reason = "belowQualityTarget"
	OverShare    Reason = "overItsShare"
	NoEndpoint   Reason = "noUsableEndpoint"
)

// settingOf names the setting that decides each reason.
var settingOf = map[Reason]string{
	Chosen:       "weightCost",
	Dearer:       "weightCost",
	NotAsked:     "allow",
	NotInSession: "sessionFor",
	Withdrawn:    "allow",
	TooDear:      "maxCost",
	TooPoor:      "qualityTarget",
	NoEndpoint:   "allow",
	OverShare:    "allow",
}

// Setting names the setting that decides the reason.
func (r Reason) Setting() string { return settingOf[r] }

// Request is what a decision needs to know of a request.
type Request struct {
	// Model and Version restrict the choice; empty ones do not.
	Model, Version string
	// Pinned says that Model and Version are those of a session.
	Pinned bool
	// AvailabilityZone is where the deciding entry is.
	AvailabilityZone string
	// Seed is the source of the random choices.
	Seed uint64
	// Draw is uniform in [0, 1), the same for every attempt of a request: a
	// version that is rolled out to a share is open to draws below it.
	Draw float64
	// Avoid holds the indices of endpoints that were tried already.
	Avoid []int
}

// Candidate is one version and what became of it.
type Candidate struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Cost    float64 `json:"cost"`
	Quality float64 `json:"quality"`
	// Wait is the expected wait in turns of the pool's slots.
	Wait float64 `json:"wait"`
	// Score is what the chosen candidate has the least of.
	Score  float64 `json:"score"`
	Reason Reason  `json:"reason"`
}

// Decision is where a request goes, and why.
type Decision struct {
	// Kind is empty for a choice, else why there is none.
	Kind fault.Kind `json:"kind,omitempty"`
	// Model, Version and Pool are the choice.
	Model   string  `json:"model,omitempty"`
	Version string  `json:"version,omitempty"`
	Pool    string  `json:"pool"`
	Cost    float64 `json:"cost"`
	// Endpoint is an index of the view's endpoints; -1 without a choice.
	Endpoint int `json:"-"`
	// Candidates holds every version of the allow list.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Decide chooses a version and an endpoint from candidates under the settings
// of e, and writes the choice to dst, whose slices are reused. It does not
// allocate once dst has grown.
func Decide(dst *Decision, e *config.Effective, candidates []config.Candidate, req *Request, v *View) {
	*dst = Decision{Endpoint: -1, Candidates: dst.Candidates[:0]}
	best := -1
	for i := range candidates {
		c := judge(e, &candidates[i], req, v)
		if c.Reason == Dearer && (best < 0 || c.Score < dst.Candidates[best].Score) {
			best = i
		}
		dst.Candidates = append(dst.Candidates, c)
	}
	if best < 0 {
		dst.Kind = noChoice(dst.Candidates, req)
		return
	}
	chosen := &dst.Candidates[best]
	chosen.Reason = Chosen
	spec := candidates[best].Spec
	dst.Model, dst.Version, dst.Pool, dst.Cost = chosen.Model, chosen.Version, spec.Pool, spec.Cost
	dst.Endpoint = v.pick(spec.Pool, candidates[best].Name, req)
}

// judge scores one version. A version that could be taken has the reason
// Dearer until it is chosen.
func judge(e *config.Effective, c *config.Candidate, req *Request, v *View) Candidate {
	out := Candidate{Model: c.Model, Version: c.Version, Cost: c.Spec.Cost, Quality: c.Spec.Quality}
	out.Reason = reject(e, c, req)
	if out.Reason != "" {
		return out
	}
	wait, ok := v.wait(c.Spec.Pool, c.Name, req.Avoid)
	if !ok {
		out.Reason = NoEndpoint
		return out
	}
	out.Wait = wait
	out.Score = *e.Values.WeightCost*c.Spec.Cost + *e.Values.WeightLatency*wait
	out.Reason = Dearer
	return out
}

// asks reports whether the request leaves a version open.
func (req *Request) asks(c *config.Candidate) bool {
	return (req.Model == "" || req.Model == c.Model) && (req.Version == "" || req.Version == c.Version)
}

// reject returns why a version may not be taken, or "". A session keeps its
// version whatever cost, quality and share the settings ask of new work.
func reject(e *config.Effective, c *config.Candidate, req *Request) Reason {
	switch {
	case !req.asks(c) && req.Pinned:
		return NotInSession
	case !req.asks(c):
		return NotAsked
	case c.Spec.State == config.StateWithdrawn:
		return Withdrawn
	case req.Pinned:
		return ""
	default:
		return unfit(e, c, req)
	}
}

// unfit returns why a version is not for new work, or "".
func unfit(e *config.Effective, c *config.Candidate, req *Request) Reason {
	switch {
	case c.Spec.Cost > *e.Values.MaxCost:
		return TooDear
	case c.Spec.Quality < *e.Values.QualityTarget:
		return TooPoor
	case req.Draw >= c.Spec.Exposure():
		return OverShare
	default:
		return ""
	}
}

// noChoice returns the kind that says best why nothing could be chosen.
func noChoice(cs []Candidate, req *Request) fault.Kind {
	asked, noEndpoint := false, false
	for _, c := range cs {
		asked = asked || (c.Reason != NotAsked && c.Reason != NotInSession)
		noEndpoint = noEndpoint || c.Reason == NoEndpoint
	}
	switch {
	case noEndpoint:
		return fault.NoVersion
	case req.Pinned:
		return fault.VersionWithdrawn
	case !asked:
		return fault.NotAllowed
	default:
		return fault.NoVersion
	}
}

// DecideService chooses an endpoint of a plain service's pool.
func DecideService(dst *Decision, pool string, req *Request, v *View) {
	*dst = Decision{Endpoint: v.pick(pool, "", req), Pool: pool, Candidates: dst.Candidates[:0]}
	if dst.Endpoint < 0 {
		dst.Kind = fault.NoVersion
	}
}
