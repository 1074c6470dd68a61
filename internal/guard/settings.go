// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"net/netip"

	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/pkg/config"
)

// Kinds of endpoint, for Settings.Kind.
const (
	// KindEngine is an inference engine. It serves models, reports its versions,
	// loads versions on order, and can cancel runs and resume answers.
	KindEngine = "engine"
	// KindService is a plain HTTP service without any of these calls.
	KindService = "service"
)

// Settings are the process settings of a guard. The doc tags state the meaning and
// unit of each field.
type Settings struct {
	proc.Common `yaml:",inline"`
	Pool        string         `yaml:"pool" doc:"Pool that the endpoint belongs to."`
	Kind        string         `yaml:"kind" doc:"engine or service."`
	Endpoint    netip.AddrPort `yaml:"endpoint" doc:"Where the endpoint beside the guard listens, by IP number."`
	Slots       int            `yaml:"slots" doc:"How many runs the endpoint takes at a time."`
	Reserved    int            `yaml:"reserved,omitempty" doc:"How many slots patient runs must leave free."`
	Waiting     int            `yaml:"waiting,omitempty" doc:"How many runs may wait."`
	BillAfter   config.Span    `yaml:"billAfter,omitempty" doc:"How long after a run's deadline the guard bills it itself if no entry has; 30s if left out."`
	AgeAfter    config.Span    `yaml:"ageAfter,omitempty" doc:"How long a patient run waits before it counts as interactive."`
}

// Check calls report for each key with an invalid value.
func (s *Settings) Check(report func(key, message string)) {
	s.Common.Check(report)
	if s.Pool == "" {
		report("pool", "a name is required")
	}
	if s.Kind != KindEngine && s.Kind != KindService {
		report("kind", "allowed: engine, service")
	}
	if !s.Endpoint.IsValid() {
		report("endpoint", "an IP number and port such as 10.0.0.1:8000 is required")
	}
	if s.Slots < 1 {
		report("slots", "1 or more is allowed")
	}
	if s.Reserved < 0 || s.Reserved >= max(s.Slots, 1) {
		report("reserved", "0 to slots-1 is allowed")
	}
	if s.Waiting < 0 {
		report("waiting", "0 or more is allowed")
	}
	for key, span := range map[string]config.Span{"ageAfter": s.AgeAfter, "billAfter": s.BillAfter} {
		if span < 0 {
			report(key, "0s or more is allowed")
		}
	}
}
