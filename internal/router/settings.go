// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/traildrift/traildrift/internal/relay"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// Settings are the process settings of a router, as read from its settings file.
type Settings struct {
	VM               string            `yaml:"vm" doc:"Name of the VM."`
	AvailabilityZone string            `yaml:"availabilityZone" doc:"Availability zone of the VM."`
	Regions          map[string]string `yaml:"regions,omitempty" doc:"Region of each availability zone, for workspaces and routes that name the regions in which they may be served."`
	Listen           netip.AddrPort    `yaml:"listen" doc:"Where callers reach the router, by IP number."`
	Readiness        netip.AddrPort    `yaml:"readiness" doc:"Where the balancer asks whether the router takes new connections."`
	Metrics          netip.AddrPort    `yaml:"metrics,omitempty" doc:"Where metrics are read; none if left out."`
	Peers            netip.AddrPort    `yaml:"peers" doc:"Where other routers ask this one for what it read of the store."`
	Store            netip.AddrPort    `yaml:"store" doc:"The platform's store."`
	StopWithin       config.Span       `yaml:"stopWithin" doc:"How long a planned stop may take, counted from the signal."`
	RetryRatio       float64           `yaml:"retryRatio,omitempty" doc:"Extra attempts that one request pays for, over all routers."`
	RetrySlack       float64           `yaml:"retrySlack,omitempty" doc:"Extra attempts allowed beyond that, over all routers."`
	RetryWindow      config.Span       `yaml:"retryWindow,omitempty" doc:"The time over which extra attempts are counted; 10s if left out."`
	RevokeWithin     config.Span       `yaml:"revokeWithin,omitempty" doc:"How long after its removal a key may be served; not bounded if left out."`
	ExposeShare      float64           `yaml:"exposeShare,omitempty" doc:"Part of a service's requests that a new version which turns out bad may get; 0.15 if left out."`
	ExposeSlack      float64           `yaml:"exposeSlack,omitempty" doc:"Requests that it may get beyond that; 30 if left out."`
	WarmOverage      float64           `yaml:"warmOverage,omitempty" doc:"How many times what an endpoint bears while it warms up all routers together may send it in a second; 1.5 if left out."`
	WarmSlack        float64           `yaml:"warmSlack,omitempty" doc:"Requests in a second that it may get beyond that; 5 if left out."`
	ConfigWithin     config.Span       `yaml:"configWithin,omitempty" doc:"How long after its acceptance a configuration has to be in force; 2s if left out."`
	MemoryMB         int               `yaml:"memoryMB,omitempty" doc:"Memory that the process may use; not bounded if left out."`
	MaxDescriptors   int               `yaml:"maxDescriptors,omitempty" doc:"File descriptors that the process may use; the limit of its environment if left out or greater."`
	CallersMB        int               `yaml:"callersMB,omitempty" doc:"Memory that callers may hold together, for connections, heads, bodies and answers; 35 % of memoryMB if left out, or 256 without memoryMB."`
	CallersConns     int               `yaml:"callersConns,omitempty" doc:"Connections that callers may have open; if left out a third of the descriptors, or fewer where these would take more than half of callersMB."`
	FirstStart       bool              `yaml:"firstStart,omitempty" doc:"Whether the whole fleet starts for the first time: then routers wait for one another to register."`
	CPUShare         float64           `yaml:"cpuShare,omitempty" doc:"Processor cores that the process may use; VMs with more serve those with less what they read of the store."`
	Straight         int               `yaml:"straight,omitempty" doc:"Confidence under which an answer gives way to the largest model, with fixed bounds; 40 if left out."`
	Step             int               `yaml:"step,omitempty" doc:"Confidence under which an answer gives way to the next larger model, with fixed bounds; 60 if left out."`
	Cascade          relay.Cascade     `yaml:"cascade,omitempty" doc:"How it is decided whether a larger model is asked: worth (by what answers are expected to earn and cost, where the costs are known) or fixed (by straight and step); worth if left out."`
	Without          []relay.Mechanism `yaml:"without,omitempty" doc:"Mechanisms that are switched off, to see what they are worth: largerModels, holders, belonging, othersDelay, shortFirst, silenceBounds, notes, toldFailures, enginePrice, admission, endEstimates, jointSilence."`
	Rules            []string          `yaml:"rules,omitempty" doc:"Names of the operator's rules in force, as the platform has them. One of them says that callers compete for endpoints, which turns on enginePrice, admission, endEstimates and jointSilence for all services; without it they are on for services whose endpoints report their pace."`
	TokenWorth       float64           `yaml:"tokenWorth,omitempty" doc:"What 1,000 tokens of a prompt earn, in the money of the models' costs, a token made counting as ten; 0.35 if left out."`
	Duties           []string          `yaml:"duties,omitempty" doc:"What one VM at a time does for the platform: usage (report the requests of workspaces by windows); others are left. None if left out."`
	DutiesAt         netip.AddrPort    `yaml:"dutiesAt" doc:"Where the platform takes these calls; required with duties."`
	DutyLease        config.Span       `yaml:"dutyLease,omitempty" doc:"Within what time no two VMs take turns in doing so; 3s if left out."`
	UsageWindow      config.Span       `yaml:"usageWindow,omitempty" doc:"Length of the windows by which usage is reported, counted from the start of 1970; required with the duty usage."`
	UsageLate        config.Span       `yaml:"usageLate,omitempty" doc:"How long after its end a window's usage is due; twice its length if left out."`
	LogLevel         string            `yaml:"logLevel,omitempty" doc:"debug, info, warn or error."`
}

const (
	// defaultStraight and defaultStep have the best mean worth of eight pairs of values; see
	// docs/design/platform.md. The result depends on the time that a larger model takes, which the
	// cascade takes into account.
	defaultStraight = 40
	defaultStep     = 60
	// defaultExposeShare and defaultExposeSlack are the bounds required by operators.
	defaultExposeShare = 0.15
	defaultExposeSlack = 30
	// defaultTokenWorth is the geometric mean over the traffic of two operators. Over the data of all
	// operators, 1,000 tokens earn 0.13 to 0.48. Half or twice the value changes the worth of 24
	// simulated workloads by less than their noise of 0.006.
	defaultTokenWorth = 0.35
	// defaultWarmOverage and defaultWarmSlack are the bounds required by operators.
	defaultWarmOverage = 1.5
	defaultWarmSlack   = 5
	// defaultConfigWithin is the time required by operators.
	defaultConfigWithin = config.Span(2 * time.Second)
	// defaultDutyLease is the time required by operators.
	defaultDutyLease = config.Span(3 * time.Second)
	// defaultRetryWindow is the time required by operators.
	defaultRetryWindow = config.Span(10 * time.Second)
)

// Check calls report for each key with an invalid value, with a message that states the valid ones.
func (s *Settings) Check(report func(key, message string)) {
	for _, c := range []struct{ key, name string }{{"vm", s.VM}, {"availabilityZone", s.AvailabilityZone}} {
		if c.name == "" {
			report(c.key, "a name is required")
		}
	}
	for _, c := range []struct {
		key  string
		addr netip.AddrPort
	}{{"listen", s.Listen}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"store", s.Store}} {
		if !c.addr.IsValid() {
			report(c.key, "an IP number and port such as 10.0.0.1:7000 is required")
		}
	}
	s.checkLimits(report)
	s.checkCallers(report)
	s.checkMechanisms(report)
	s.checkDuties(report)
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		report("logLevel", fmt.Sprintf("%q is not allowed; allowed: debug, info, warn, error", s.LogLevel))
	}
}

// checkMechanisms checks the keys that select and disable mechanisms.
func (s *Settings) checkMechanisms(report func(key, message string)) {
	switch s.Cascade {
	case "", relay.CascadeFixed, relay.CascadeWorth:
	default:
		report("cascade", fmt.Sprintf("%q is not allowed; allowed: worth, fixed", s.Cascade))
	}
	for _, m := range s.Without {
		if !slices.Contains(relay.AllMechanisms, m) {
			report("without", fmt.Sprintf("%q is not allowed; allowed: %v", m, relay.AllMechanisms))
		}
	}
}

// dutyUsage is the value of Settings.Duties for reports of usage.
const dutyUsage = "usage"

// reportsUsage reports whether the duties include reports of usage.
func (s *Settings) reportsUsage() bool { return slices.Contains(s.Duties, dutyUsage) }

// checkDuties checks the keys that the duties require.
func (s *Settings) checkDuties(report func(key, message string)) {
	if !s.reportsUsage() {
		return
	}
	if !s.DutiesAt.IsValid() {
		report("dutiesAt", "an IP number and port such as 10.0.0.1:7000 is required")
	}
	if s.UsageWindow <= 0 {
		report("usageWindow", "a time over 0s is required")
	}
}

// checkCallers checks the keys that bound the process and what callers hold.
func (s *Settings) checkCallers(report func(key, message string)) {
	for _, c := range []struct {
		key string
		n   int
	}{{"memoryMB", s.MemoryMB}, {"maxDescriptors", s.MaxDescriptors}, {"callersMB", s.CallersMB}, {"callersConns", s.CallersConns}} {
		if c.n < 0 {
			report(c.key, "0 (the default) or more is allowed")
		}
	}
	if s.MemoryMB > 0 && s.CallersMB > s.MemoryMB/2 {
		report("callersMB", "at most half of memoryMB is allowed")
	}
}

// checkLimits checks the ranges of times and numbers.
func (s *Settings) checkLimits(report func(key, message string)) {
	if s.StopWithin <= 0 {
		report("stopWithin", "a time over 0s is required")
	}
	for _, c := range []struct {
		key  string
		span config.Span
	}{{"retryWindow", s.RetryWindow}, {"revokeWithin", s.RevokeWithin}, {"configWithin", s.ConfigWithin}, {"dutyLease", s.DutyLease}, {"usageLate", s.UsageLate}} {
		if c.span < 0 {
			report(c.key, "0s (the default) or more is allowed")
		}
	}
	for _, c := range []struct {
		key string
		n   float64
	}{{"cpuShare", s.CPUShare}, {"retryRatio", s.RetryRatio}, {"retrySlack", s.RetrySlack}, {"warmOverage", s.WarmOverage}, {"warmSlack", s.WarmSlack}, {"tokenWorth", s.TokenWorth}} {
		if c.n < 0 {
			report(c.key, "0 or more is allowed")
		}
	}
	if s.ExposeShare < 0 || s.ExposeShare > 1 || s.ExposeSlack < 0 {
		report("exposeShare", "exposeShare is 0 to 1, exposeSlack 0 or more")
	}
	if s.Straight < 0 || s.Step > 100 || s.Straight > s.Step {
		report("straight", "straight is 0 or more and at most step, which is at most 100")
	}
}

// setDefaults sets the defaults of keys that were left out.
func (s *Settings) setDefaults() {
	if s.Straight == 0 && s.Step == 0 {
		s.Straight, s.Step = defaultStraight, defaultStep
	}
	if s.ExposeShare == 0 {
		s.ExposeShare = defaultExposeShare
	}
	if s.ExposeSlack == 0 {
		s.ExposeSlack = defaultExposeSlack
	}
	if s.WarmOverage == 0 {
		s.WarmOverage = defaultWarmOverage
	}
	if s.TokenWorth == 0 {
		s.TokenWorth = defaultTokenWorth
	}
	if s.WarmSlack == 0 {
		s.WarmSlack = defaultWarmSlack
	}
	if s.ConfigWithin == 0 {
		s.ConfigWithin = defaultConfigWithin
	}
	if s.DutyLease == 0 {
		s.DutyLease = defaultDutyLease
	}
	if s.UsageLate == 0 {
		s.UsageLate = 2 * s.UsageWindow
	}
	if s.RetryWindow == 0 {
		s.RetryWindow = defaultRetryWindow
	}
}

// limits returns the settings that may change while the process runs. contentionRule is
// Wire.ContentionRule.
func (s *Settings) limits(contentionRule string) relay.Limits {
	return relay.Limits{
		Contention:   contentionRule != "" && slices.Contains(s.Rules, contentionRule),
		Zone:         s.AvailabilityZone,
		Regions:      s.Regions,
		RetryRatio:   s.RetryRatio,
		RetrySlack:   s.RetrySlack,
		RetryWindow:  s.RetryWindow,
		RevokeWithin: s.RevokeWithin,
		ConfigWithin: s.ConfigWithin,
		ExposeShare:  s.ExposeShare,
		ExposeSlack:  s.ExposeSlack,
		WarmOverage:  s.WarmOverage,
		WarmSlack:    s.WarmSlack,
		Mechanisms:   relay.Mechanisms{Cascade: s.Cascade, Without: s.Without},
		TokenWorth:   s.TokenWorth,
		Cascade:      sizes.Policy{Straight: s.Straight, Step: s.Step},
	}
}
