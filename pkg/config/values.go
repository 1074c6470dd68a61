// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

// Values are the settings that every level may override. A nil field is inherited
// from the level above. The yaml tag names the setting. The tags default, min, max
// and words (the allowed words) are used to fill in and check values; doc and unit
// are for docs/SETTINGS.md.
type Values struct {
	Enabled       *bool    `yaml:"enabled,omitempty" json:"enabled,omitempty" default:"true" doc:"Whether requests are served at this level; false for a district that is not cut over yet."`
	Allow         []string `yaml:"allow,omitempty" json:"allow,omitempty" default:"[]" doc:"The models, or model@version, that requests may run on. A level that sets it replaces the whole list."`
	QualityTarget *float64 `yaml:"qualityTarget,omitempty" json:"qualityTarget,omitempty" default:"0" min:"0" max:"1" unit:"share of good answers" doc:"The minimum quality of the version that a request runs on."`
	MaxCost       *float64 `yaml:"maxCost,omitempty" json:"maxCost,omitempty" default:"1e+06" min:"0" max:"1e6" unit:"cost per million tokens" doc:"The maximum cost of the version that a request runs on."`
	AnswerWithin  *Span    `yaml:"answerWithin,omitempty" json:"answerWithin,omitempty" default:"1m" min:"10ms" max:"24h" doc:"The deadline of a request that names none, counted from its arrival."`
	Priority      *string  `yaml:"priority,omitempty" json:"priority,omitempty" default:"interactive" words:"interactive patient" doc:"Which queue a request waits in."`
	Repeatable    *bool    `yaml:"repeatable,omitempty" json:"repeatable,omitempty" default:"true" doc:"Whether a request that may have run may be sent to an endpoint again."`
	MaxAttempts   *int     `yaml:"maxAttempts,omitempty" json:"maxAttempts,omitempty" default:"3" min:"1" max:"10" unit:"attempts" doc:"The maximum number of endpoints that a request is sent to."`
	RequestRate   *float64 `yaml:"requestRate,omitempty" json:"requestRate,omitempty" default:"1e+06" min:"0" max:"1e6" unit:"requests per second and entry" doc:"The maximum rate of a workspace's requests; those beyond it are refused."`
	Concurrency   *int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty" default:"1000" min:"0" max:"1000000" unit:"requests per entry" doc:"The maximum number of a workspace's requests under way at once; others are refused."`
	RetryShare    *float64 `yaml:"retryShare,omitempty" json:"retryShare,omitempty" default:"0.1" min:"0" max:"1" unit:"retries per request" doc:"The retry budget: how many retries each request adds to it."`
	OnWithdrawn   *string  `yaml:"onWithdrawn,omitempty" json:"onWithdrawn,omitempty" default:"refuse" words:"refuse newSession" doc:"What happens to a session whose version was withdrawn."`
	SessionFor    *Span    `yaml:"sessionFor,omitempty" json:"sessionFor,omitempty" default:"1h" min:"1s" max:"720h" doc:"How long a session keeps its version, counted from its opening."`
	OnStale       *string  `yaml:"onStale,omitempty" json:"onStale,omitempty" default:"serve" words:"serve refuse" doc:"What a process does with requests when its settings are older than staleAfter."`
	StaleAfter    *Span    `yaml:"staleAfter,omitempty" json:"staleAfter,omitempty" default:"1m" min:"1s" max:"24h" doc:"The age at which settings are stale, counted from the last confirmation that they are the newest."`
	OnBillsFull   *string  `yaml:"onBillsFull,omitempty" json:"onBillsFull,omitempty" default:"serve" words:"serve refuse" doc:"What an entry does with requests when unsent bill lines fill its buffer; with serve, the guards bill the requests that the buffer cannot hold."`
	AnswerKept    *Span    `yaml:"answerKept,omitempty" json:"answerKept,omitempty" default:"10m" min:"1s" max:"24h" doc:"How long the answer to a request with an idempotency key is kept for repeats, counted from the end of the request."`
	WeightCost    *float64 `yaml:"weightCost,omitempty" json:"weightCost,omitempty" default:"1" min:"0" max:"1000" doc:"The weight of a version's cost in its score; the lowest score is chosen."`
	WeightLatency *float64 `yaml:"weightLatency,omitempty" json:"weightLatency,omitempty" default:"0" min:"0" max:"1000" doc:"The weight of a version's expected wait in its score."`
}

// Values of priority, which name the queue that a request waits in.
const (
	Interactive = "interactive"
	Patient     = "patient"
)

// Values of onWithdrawn, onStale and onBillsFull: Refuse is a value of all three,
// NewSession of the first, Serve of the other two.
const (
	Refuse     = "refuse"
	NewSession = "newSession"
	Serve      = "serve"
)
