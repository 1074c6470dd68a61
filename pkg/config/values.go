// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

// Values are the settings that every level may override. A nil field is
// inherited. The tags carry what the pages say of each key: doc, unit,
// default, and the allowed range or words.
type Values struct {
	Enabled       *bool    `yaml:"enabled,omitempty" json:"enabled,omitempty" default:"true" doc:"Whether requests are served here; a district that is not cut over yet says false."`
	Allow         []string `yaml:"allow,omitempty" json:"allow,omitempty" default:"[]" doc:"The models, or model@version, that requests may run on. A level replaces the whole list."`
	QualityTarget *float64 `yaml:"qualityTarget,omitempty" json:"qualityTarget,omitempty" default:"0" min:"0" max:"1" unit:"share of good answers" doc:"The least quality an answer's version must have."`
	MaxCost       *float64 `yaml:"maxCost,omitempty" json:"maxCost,omitempty" default:"1e+06" min:"0" max:"1e6" unit:"cost per million tokens" doc:"The dearest version that may be chosen."`
	AnswerWithin  *Span    `yaml:"answerWithin,omitempty" json:"answerWithin,omitempty" default:"1m" min:"10ms" max:"24h" doc:"The deadline of a request that names none, counted from its arrival."`
	Priority      *string  `yaml:"priority,omitempty" json:"priority,omitempty" default:"interactive" words:"interactive patient" doc:"Which queue a request waits in."`
	Repeatable    *bool    `yaml:"repeatable,omitempty" json:"repeatable,omitempty" default:"true" doc:"Whether a request may be run again after it may have run."`
	MaxAttempts   *int     `yaml:"maxAttempts,omitempty" json:"maxAttempts,omitempty" default:"3" min:"1" max:"10" unit:"attempts" doc:"How many endpoints a request may be sent to."`
	RequestRate   *float64 `yaml:"requestRate,omitempty" json:"requestRate,omitempty" default:"1e+06" min:"0" max:"1e6" unit:"requests per second and entry" doc:"The rate beyond which requests are refused."`
	Concurrency   *int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty" default:"1000" min:"0" max:"1000000" unit:"requests per entry" doc:"How many requests may be under way."`
	RetryShare    *float64 `yaml:"retryShare,omitempty" json:"retryShare,omitempty" default:"0.1" min:"0" max:"1" unit:"retries per request" doc:"The retry budget: how many retries each request earns."`
	OnWithdrawn   *string  `yaml:"onWithdrawn,omitempty" json:"onWithdrawn,omitempty" default:"refuse" words:"refuse newSession" doc:"What becomes of a session whose version was withdrawn."`
	SessionFor    *Span    `yaml:"sessionFor,omitempty" json:"sessionFor,omitempty" default:"1h" min:"1s" max:"720h" doc:"How long a session keeps its version, counted from its opening."`
	OnStale       *string  `yaml:"onStale,omitempty" json:"onStale,omitempty" default:"serve" words:"serve refuse" doc:"What a process does that has heard of no settings for staleAfter."`
	StaleAfter    *Span    `yaml:"staleAfter,omitempty" json:"staleAfter,omitempty" default:"1m" min:"1s" max:"24h" doc:"When settings count as stale, counted from the last word of them."`
	OnBillsFull   *string  `yaml:"onBillsFull,omitempty" json:"onBillsFull,omitempty" default:"serve" words:"serve refuse" doc:"What an entry does whose bill lines wait for the platform and fill their buffer; with serve the guards bill what it cannot hold."`
	AnswerKept    *Span    `yaml:"answerKept,omitempty" json:"answerKept,omitempty" default:"10m" min:"1s" max:"24h" doc:"How long the answer of a request with a key is kept for repeats, counted from its end."`
	WeightCost    *float64 `yaml:"weightCost,omitempty" json:"weightCost,omitempty" default:"1" min:"0" max:"1000" doc:"How much a version's cost weighs in its score."`
	WeightLatency *float64 `yaml:"weightLatency,omitempty" json:"weightLatency,omitempty" default:"0" min:"0" max:"1000" doc:"How much a version's expected wait weighs in its score."`
}

// Priorities.
const (
	Interactive = "interactive"
	Patient     = "patient"
)

// Words of onWithdrawn, onStale and onBillsFull.
const (
	Refuse     = "refuse"
	NewSession = "newSession"
	Serve      = "serve"
)
