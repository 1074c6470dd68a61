// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"fmt"
	"slices"

	"github.com/traildrift/traildrift/pkg/config"
)

// Experiment is what an experiment's file describes.
type Experiment struct {
	Seeds []uint64 `yaml:"seeds"`
	// Duration is how long requests arrive, in simulated time.
	Duration config.Span `yaml:"for"`
	// RequestsPerSecond is the rate of all requests together.
	RequestsPerSecond float64 `yaml:"perSecond"`
	// Routers is how many processes place requests, each by what it sees itself.
	Routers int `yaml:"routers"`
	// Endpoints is how many endpoints there are.
	Endpoints int      `yaml:"endpoints"`
	Engine    Engine   `yaml:"engine"`
	Models    []Model  `yaml:"models"`
	Classes   []Class  `yaml:"sorts"`
	Policies  []Policy `yaml:"policies"`
}

// Engine is what all endpoints have in common.
type Engine struct {
	// Slots is how many requests an endpoint works on at once.
	Slots int `yaml:"slots"`
	// Step is the time of a step, StepPerRun what each run beside adds.
	Step       config.Span `yaml:"step"`
	StepPerRun config.Span `yaml:"stepPerRun"`
	// TokensPerMs is how many tokens of a prompt a model of pace 1 reads in a
	// millisecond, Piece how many are read in one step at most.
	TokensPerMs float64 `yaml:"tokensPerMs"`
	ChunkTokens int     `yaml:"piece"`
	// CacheTokens is how many tokens of shared parts an endpoint keeps.
	CacheTokens int `yaml:"kept"`
}

// Model is one of the models of a cascade, which are listed smallest first.
type Model struct {
	Name string `yaml:"name"`
	// ReadFactor is the time to read a prompt against a model of pace 1.
	ReadFactor float64 `yaml:"pace"`
	// Quality is the share of requests that the model answers well, 0 to 1.
	Quality float64 `yaml:"quality"`
	// Cost is that of 1,000 tokens made; tokens read cost a quarter.
	Cost float64 `yaml:"cost"`
}

// Class is one sort of requests.
type Class struct {
	Name string `yaml:"name"`
	// Weight is the sort's part of the requests, against the other sorts'.
	Weight float64 `yaml:"share"`
	// SharedTokens is the mean size of the part of the prompt that requests share,
	// Things how many such parts there are, Own the mean size of the rest.
	SharedTokens int `yaml:"shared"`
	SharedParts  int `yaml:"things"`
	OwnTokens    int `yaml:"own"`
	// OutputTokens is the mean number of tokens made, Event how many an event holds.
	OutputTokens int `yaml:"out"`
	EventTokens  int `yaml:"event"`
	// TargetHead is the time to the first event, Pause the longest between two, that
	// earns full credit.
	TargetHead  config.Span `yaml:"aim"`
	TargetPause config.Span `yaml:"pause"`
	// Value is what a good answer in time is worth, Late and Weak the parts of
	// it that a late and a weak one are worth.
	Value      float64 `yaml:"value"`
	LateFactor float64 `yaml:"late"`
	WeakFactor float64 `yaml:"weak"`
}

// Policy is one way to place requests and to choose models.
type Policy struct {
	Name string `yaml:"name"`
	// Placement names one of Placements.
	Placement string `yaml:"place"`
	// FirstModel is the index of the first model, Straight and Step are those of
	// sizes.Policy.
	FirstModel int `yaml:"start"`
	Straight   int `yaml:"straight"`
	Step       int `yaml:"step"`
}

// Check reports each key that is wrong, with what is allowed.
func (x *Experiment) Check(report func(key, message string)) {
	for _, c := range []struct {
		key string
		ok  bool
	}{
		{"seeds", len(x.Seeds) > 0}, {"for", x.Duration > 0}, {"perSecond", x.RequestsPerSecond > 0}, {"routers", x.Routers > 0}, {"endpoints", x.Endpoints > 0},
		{"engine.slots", x.Engine.Slots > 0}, {"engine.step", x.Engine.Step > 0}, {"engine.tokensPerMs", x.Engine.TokensPerMs > 0},
		{"engine.piece", x.Engine.ChunkTokens > 0}, {"models", len(x.Models) > 0}, {"sorts", len(x.Classes) > 0}, {"policies", len(x.Policies) > 0},
	} {
		if !c.ok {
			report(c.key, "is required and positive")
		}
	}
	x.checkLists(report)
}

// checkLists checks sorts and policies.
func (x *Experiment) checkLists(report func(key, message string)) {
	for i := range x.Classes {
		x.Classes[i].check(fmt.Sprintf("sorts[%d]", i), report)
	}
	for i := range x.Policies {
		x.Policies[i].check(fmt.Sprintf("policies[%d]", i), len(x.Models), report)
	}
}

func (s *Class) check(key string, report func(key, message string)) {
	if s.Weight <= 0 || s.OwnTokens <= 0 || s.OutputTokens <= 0 || s.EventTokens <= 0 || s.Value <= 0 {
		report(key, "share, own, out, event and value are positive")
	}
	if s.SharedTokens > 0 && s.SharedParts <= 0 {
		report(key+".things", "is positive where parts are shared")
	}
}

func (p *Policy) check(key string, models int, report func(key, message string)) {
	if !slices.Contains(Placements, p.Placement) {
		report(key+".place", fmt.Sprintf("%q is not allowed; allowed: %v", p.Placement, Placements))
	}
	if p.FirstModel < 0 || p.FirstModel >= models || p.Straight > p.Step {
		report(key, "start names a model by its index, straight is at most step")
	}
}
