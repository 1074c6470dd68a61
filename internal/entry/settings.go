// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"net/netip"

	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/secure"
	"github.com/traildrift/traildrift/pkg/config"
)

// Settings are the process settings of an entry. They are read from the process settings
// file, under the keys in the yaml tags. Sizes are in bytes.
type Settings struct {
	proc.Common       `yaml:",inline"`
	Listen            netip.AddrPort `yaml:"listen" doc:"Where callers reach the entry."`
	TLS               secure.Files   `yaml:"tls,omitempty" doc:"Files cert and key for TLS towards callers; plain HTTP without."`
	MaxBody           int            `yaml:"maxBody,omitempty" doc:"Greatest size of a request's body, in bytes."`
	MaxHeader         int            `yaml:"maxHeader,omitempty" doc:"Greatest size of a request's headers, in bytes."`
	ReadTimeout       config.Span    `yaml:"readWithin,omitempty" doc:"How long the reading of a request may take."`
	LinksPerPool      int            `yaml:"linksPerPool,omitempty" doc:"How many endpoints of each pool the entry keeps links to."`
	HeartbeatInterval config.Span    `yaml:"beatEvery,omitempty" doc:"How often each link carries a heartbeat."`
	SuspectAfter      config.Span    `yaml:"suspectAfter,omitempty" doc:"How long an endpoint may be silent before it gets no new work."`
	MaxHeldRecords    int            `yaml:"recordsHeld,omitempty" doc:"How many bill lines, and trail records, may wait for the platform; 100000 if left out."`
	ListInterval      config.Span    `yaml:"listEvery,omitempty" doc:"How often the VM list is read."`
}

// Defaults of the settings that are 0.
const (
	defaultMaxBody           = 4 << 20
	defaultMaxHeader         = 16 << 10
	defaultReadTimeout       = "10s"
	defaultLinksPerPool      = 24
	defaultMaxHeldRecords    = 100_000
	defaultHeartbeatInterval = "1s"
	defaultSuspectAfter      = "3s"
	defaultListInterval      = "5s"
)

// fill sets the default of each setting that is 0.
func (s *Settings) fill() {
	fillInt(&s.MaxBody, defaultMaxBody)
	fillInt(&s.MaxHeader, defaultMaxHeader)
	fillInt(&s.LinksPerPool, defaultLinksPerPool)
	fillInt(&s.MaxHeldRecords, defaultMaxHeldRecords)
	fillSpan(&s.ReadTimeout, defaultReadTimeout)
	fillSpan(&s.HeartbeatInterval, defaultHeartbeatInterval)
	fillSpan(&s.SuspectAfter, defaultSuspectAfter)
	fillSpan(&s.ListInterval, defaultListInterval)
}

func fillInt(dst *int, n int) {
	if *dst == 0 {
		*dst = n
	}
}

func fillSpan(dst *config.Span, text string) {
	if *dst == 0 {
		_ = dst.UnmarshalText([]byte(text))
	}
}

// Check reports each invalid setting, with its key and the allowed values.
func (s *Settings) Check(report func(key, message string)) {
	s.Common.Check(report)
	if !s.Listen.IsValid() {
		report("listen", "an IP number and port such as 10.0.0.1:8080 is required")
	}
	if t := s.TLS; t.IsSet() && (t.Cert == "" || t.Key == "" || t.CA != "") {
		report("tls", "cert and key are required, ca is not allowed")
	}
	for key, n := range map[string]int{"maxBody": s.MaxBody, "maxHeader": s.MaxHeader, "linksPerPool": s.LinksPerPool, "recordsHeld": s.MaxHeldRecords} {
		if n < 0 {
			report(key, "0 (the default) or more is allowed")
		}
	}
	for key, n := range map[string]config.Span{"readWithin": s.ReadTimeout, "beatEvery": s.HeartbeatInterval, "suspectAfter": s.SuspectAfter, "listEvery": s.ListInterval} {
		if n < 0 {
			report(key, "0s (the default) or more is allowed")
		}
	}
	if s.MaxBody > maxAnswerBytes {
		report("maxBody", "8388608 or less is allowed")
	}
}
