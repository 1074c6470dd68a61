// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package route

import (
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Reason says why a candidate version was or was not chosen.
type Reason string

// The closed list of reasons. Chosen and HigherScore are for eligible versions,
// the others say why a version is not eligible.
const (
	Chosen             Reason = "chosen"                // the version was chosen
	HigherScore        Reason = "higherScore"           // the chosen version has a lower score, or the same one and comes first
	NotRequested       Reason = "notAskedFor"           // the request names another model or version
	NotSessionVersion  Reason = "notTheSessionsVersion" // the session keeps another version
	Withdrawn          Reason = "withdrawn"             // the state of the version is withdrawn
	OverMaxCost        Reason = "overMaxCost"           // the cost exceeds maxCost
	BelowQualityTarget Reason = "belowQualityTarget"    // the quality is less than qualityTarget
	OverShare          Reason = "overItsShare"          // the draw of the request is outside the roll-out share
	NoUsableEndpoint   Reason = "noUsableEndpoint"      // no usable endpoint of the pool has the version
)

// decidingSetting names the setting that decides for a reason. The other reasons
// follow from the request, the state or share of the version, or its endpoints.
var decidingSetting = map[Reason]string{
	Chosen:             "weightCost",
	HigherScore:        "weightCost",
	NotSessionVersion:  "sessionFor",
	OverMaxCost:        "maxCost",
	BelowQualityTarget: "qualityTarget",
}

// Setting returns the name of the setting that decides whether the reason
// applies, so that explain can show its value and origin; empty if none does.
func (r Reason) Setting() string { return decidingSetting[r] }

// Request holds the properties of a request that a decision depends on.
type Request struct {
	// Model and Version restrict the choice to a model and a version; an empty
	// one does not restrict it.
	Model, Version string
	// Pinned says that Model and Version are those that a session keeps.
	Pinned bool
	// AvailabilityZone is the zone of the entry that decides.
	AvailabilityZone string
	// Seed determines the random choice of endpoints.
	Seed uint64
	// Draw is a random number, uniform in [0, 1), the same for every attempt
	// of a request. A version that is rolled out to a share of the requests
	// takes those whose draw is less than the share.
	Draw float64
	// Avoid holds the indices in the view of endpoints that must not be
	// chosen, as earlier attempts were sent to them.
	Avoid []int
}

// Candidate is the evaluation of one version.
type Candidate struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Cost and Quality are those of config.Version.
	Cost    float64 `json:"cost"`
	Quality float64 `json:"quality"`
	// Wait is the expected wait: the mean over the usable endpoints of the
	// pool of their requests per slot. It is 0 if the version was rejected.
	Wait float64 `json:"wait"`
	// Score is weightCost * Cost + weightLatency * Wait; the eligible version
	// with the lowest score is chosen, the first one of several.
	Score  float64 `json:"score"`
	Reason Reason  `json:"reason"`
}

// Decision is the version and endpoint that a request is sent to, with the
// evaluation of every candidate.
type Decision struct {
	// Kind is empty if a version was chosen, else the error kind that says why
	// none was.
	Kind fault.Kind `json:"kind,omitempty"`
	// Model, Version and Pool are those of the chosen version, Cost its cost per
	// million tokens. For a plain service only Pool is set.
	Model   string  `json:"model,omitempty"`
	Version string  `json:"version,omitempty"`
	Pool    string  `json:"pool"`
	Cost    float64 `json:"cost"`
	// Endpoint is the index of the endpoint in the view, or -1 if none was
	// chosen.
	Endpoint int `json:"-"`
	// Candidates holds every version of the allow list, in the order given to
	// Decide.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Decide chooses a version from candidates and one of its endpoints in v, under
// the settings of e, and writes the decision to dst. It reuses the slice of dst
// and does not allocate once that has the capacity.
func Decide(dst *Decision, e *config.Effective, candidates []config.Candidate, req *Request, v *View) {
	*dst = Decision{Endpoint: -1, Candidates: dst.Candidates[:0]}
	best := -1
	for i := range candidates {
		c := evaluate(e, &candidates[i], req, v)
		if c.Reason == HigherScore && (best < 0 || c.Score < dst.Candidates[best].Score) {
			best = i
		}
		dst.Candidates = append(dst.Candidates, c)
	}
	if best < 0 {
		dst.Kind = noChoiceKind(dst.Candidates, req)
		return
	}
	chosen := &dst.Candidates[best]
	chosen.Reason = Chosen
	spec := candidates[best].Spec
	dst.Model, dst.Version, dst.Pool, dst.Cost = chosen.Model, chosen.Version, spec.Pool, spec.Cost
	dst.Endpoint = v.pick(spec.Pool, candidates[best].Name, req)
}

// evaluate rejects or scores one version. An eligible version gets the reason
// HigherScore, which Decide replaces for the one that it chooses.
func evaluate(e *config.Effective, c *config.Candidate, req *Request, v *View) Candidate {
	out := Candidate{Model: c.Model, Version: c.Version, Cost: c.Spec.Cost, Quality: c.Spec.Quality}
	out.Reason = reject(e, c, req)
	if out.Reason != "" {
		return out
	}
	wait, ok := v.meanLoad(c.Spec.Pool, c.Name, req.Avoid)
	if !ok {
		out.Reason = NoUsableEndpoint
		return out
	}
	out.Wait = wait
	out.Score = *e.Values.WeightCost*c.Spec.Cost + *e.Values.WeightLatency*wait
	out.Reason = HigherScore
	return out
}

// matches reports whether the request's model and version admit the candidate.
func (req *Request) matches(c *config.Candidate) bool {
	return (req.Model == "" || req.Model == c.Model) && (req.Version == "" || req.Version == c.Version)
}

// reject returns why a version is not eligible, or "". The cost limit, quality
// target and roll-out share apply to new work only: a session keeps its version
// regardless of them.
func reject(e *config.Effective, c *config.Candidate, req *Request) Reason {
	switch {
	case !req.matches(c) && req.Pinned:
		return NotSessionVersion
	case !req.matches(c):
		return NotRequested
	case c.Spec.State == config.StateWithdrawn:
		return Withdrawn
	case req.Pinned:
		return ""
	default:
		return rejectNewWork(e, c, req)
	}
}

// rejectNewWork returns why a version is not eligible for requests outside a
// session, or "".
func rejectNewWork(e *config.Effective, c *config.Candidate, req *Request) Reason {
	switch {
	case c.Spec.Cost > *e.Values.MaxCost:
		return OverMaxCost
	case c.Spec.Quality < *e.Values.QualityTarget:
		return BelowQualityTarget
	case req.Draw >= c.Spec.Exposure():
		return OverShare
	default:
		return ""
	}
}

// noChoiceKind returns the error kind of a decision that chose none of cs. A
// version that lacks only a usable endpoint takes precedence over the others.
func noChoiceKind(cs []Candidate, req *Request) fault.Kind {
	requested, noEndpoint := false, false
	for _, c := range cs {
		requested = requested || (c.Reason != NotRequested && c.Reason != NotSessionVersion)
		noEndpoint = noEndpoint || c.Reason == NoUsableEndpoint
	}
	switch {
	case noEndpoint:
		return fault.NoVersion
	case req.Pinned:
		return fault.VersionWithdrawn
	case !requested:
		return fault.NotAllowed
	default:
		return fault.NoVersion
	}
}

// DecideService chooses an endpoint in v for a request to a plain service, whose
// endpoints form pool, and writes the decision to dst. Without a usable endpoint
// its kind is NoVersion.
func DecideService(dst *Decision, pool string, req *Request, v *View) {
	*dst = Decision{Endpoint: v.pick(pool, "", req), Pool: pool, Candidates: dst.Candidates[:0]}
	if dst.Endpoint < 0 {
		dst.Kind = fault.NoVersion
	}
}
