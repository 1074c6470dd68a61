// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"fmt"
	"slices"

	"github.com/traildrift/traildrift/pkg/config"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	// Seeds lists the seeds; every policy is simulated once with each.
	Seeds []uint64 `yaml:"seeds"`
	// Duration is the simulated time during which requests arrive.
	Duration config.Span `yaml:"for"`
	// RequestsPerSecond is the mean arrival rate of all classes together.
	RequestsPerSecond float64 `yaml:"perSecond"`
	// Routers is the number of processes that place requests, each with its own view of the
	// load.
	Routers int `yaml:"routers"`
	// Endpoints is the number of endpoints.
	Endpoints int `yaml:"endpoints"`
	// StoreRestoredAt is when the store of the endpoint list comes back from an older copy, which lacks
	// every third endpoint until they register again; 0 for never.
	StoreRestoredAt config.Span `yaml:"storeRestoredAt"`
	// BusiestRouter has one router get most requests for a time.
	BusiestRouter Skew `yaml:"busiestRouter"`
	// CrashingPart has some requests hold a part of prompts that crashes endpoints.
	CrashingPart CrashingPart `yaml:"crashingPart"`
	// Engine holds the parameters that all endpoints share.
	Engine Engine `yaml:"engine"`
	// Models lists the models of the cascade, smallest first.
	Models []Model `yaml:"models"`
	// Classes lists the classes of requests that the load is drawn from.
	Classes []Class `yaml:"sorts"`
	// Policies lists the policies to compare, in the order of the table.
	Policies []Policy `yaml:"policies"`
}

// Skew is a time in which one router gets more than its share of the requests.
type Skew struct {
	// Share is the share, 0 to 1, of the requests that one router gets beside its share of the others.
	Share float64 `yaml:"share"`
	// From is when that begins, Duration how long it lasts.
	From     config.Span `yaml:"from"`
	Duration config.Span `yaml:"for"`
}

// CrashingPart is a part of prompts under which each endpoint crashes that begins to answer it. The requests
// with it are of all classes and hold the other parts as usual.
type CrashingPart struct {
	// Share is the share, 0 to 1, of the requests that hold the part; 0 for none.
	Share float64 `yaml:"share"`
	// From is when they begin to come.
	From config.Span `yaml:"from"`
	// Restart is the time after which an endpoint that crashed is back.
	Restart config.Span `yaml:"restart"`
}

// Engine holds the parameters that all endpoints share.
type Engine struct {
	// Slots is the maximum number of requests in an endpoint's batch.
	Slots int `yaml:"slots"`
	// Step is the duration of a step, to which StepPerRun is added for each run in the batch.
	Step       config.Span `yaml:"step"`
	StepPerRun config.Span `yaml:"stepPerRun"`
	// TokensPerMs is the number of prompt tokens that a model of ReadFactor 1 reads in a
	// millisecond, ChunkTokens the maximum number that it reads in one step.
	TokensPerMs float64 `yaml:"tokensPerMs"`
	ChunkTokens int     `yaml:"piece"`
	// CacheTokens is the capacity of an endpoint's cache of shared prompt parts, in tokens.
	CacheTokens int `yaml:"kept"`
}

// Model is one model of the cascade.
type Model struct {
	Name string `yaml:"name"`
	// ReadFactor is the time to read a prompt, relative to a model of ReadFactor 1.
	ReadFactor float64 `yaml:"pace"`
	// Quality is the share of requests that the model answers well, 0 to 1.
	Quality float64 `yaml:"quality"`
	// Cost is the cost of 1,000 generated tokens, in the unit of Class.Value; a prompt token
	// costs a quarter of a generated one.
	Cost float64 `yaml:"cost"`
}

// Class is a class of requests with the same distribution of sizes and the same targets.
type Class struct {
	Name string `yaml:"name"`
	// Weight is the class's share of the requests, relative to the other classes.
	Weight float64 `yaml:"share"`
	// SharedTokens is the mean size of the shared part of a prompt, SharedParts the number
	// of different shared parts and OwnTokens the mean size of the rest of the prompt.
	SharedTokens int `yaml:"shared"`
	SharedParts  int `yaml:"things"`
	OwnTokens    int `yaml:"own"`
	// OutputTokens is the mean size of an answer, EventTokens the number of tokens in an
	// event of its stream.
	OutputTokens int `yaml:"out"`
	EventTokens  int `yaml:"event"`
	// TargetHead is the target for the time from arrival to the first token, TargetPause the
	// target for the longest time between two events; an answer that exceeds either is late.
	TargetHead  config.Span `yaml:"aim"`
	TargetPause config.Span `yaml:"pause"`
	// Value is the value of a good answer in time. LateFactor and WeakFactor, 0 to 1,
	// multiply it for a late and for a weak answer.
	Value      float64 `yaml:"value"`
	LateFactor float64 `yaml:"late"`
	WeakFactor float64 `yaml:"weak"`
}

// Policy is one way to place requests and to choose models.
type Policy struct {
	// Name is the policy's name in the table.
	Name string `yaml:"name"`
	// Placement is one of Placements.
	Placement string `yaml:"place"`
	// FirstModel is the index in Models of the model that a request is sent to first.
	// Straight and Step are the thresholds of sizes.Policy.
	FirstModel int `yaml:"start"`
	Straight   int `yaml:"straight"`
	Step       int `yaml:"step"`
}

// Check calls report for each invalid key, with a message that says what is allowed.
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
	for key, share := range map[string]float64{"busiestRouter.share": x.BusiestRouter.Share, "crashingPart.share": x.CrashingPart.Share} {
		if share < 0 || share > 1 {
			report(key, "is between 0 and 1")
		}
	}
	x.checkLists(report)
}

// checkLists checks Classes and Policies.
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
