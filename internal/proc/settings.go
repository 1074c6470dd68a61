// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package proc provides what entries and guards have in common: process settings, keys,
// logger, metrics, links, fleet settings, the operators' listener, and start and stop.
package proc

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/secure"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/seal"
)

// Common holds the process settings that entries and guards share. The doc tags state the
// meaning and unit of each.
type Common struct {
	VM               string         `yaml:"vm" doc:"Name of the VM, as in the VM list."`
	AvailabilityZone string         `yaml:"availabilityZone" doc:"Availability zone of the VM."`
	Link             netip.AddrPort `yaml:"link" doc:"Where peers reach the process, by IP number."`
	Operators        netip.AddrPort `yaml:"operators" doc:"Where operators reach the process; off loopback only with operatorsToken."`
	OperatorsToken   string         `yaml:"operatorsToken,omitempty" doc:"File with the token that operators must send."`
	Platform         netip.AddrPort `yaml:"platform" doc:"The platform's object API and VM list."`
	Keys             string         `yaml:"keys" doc:"File with the link and token keys."`
	LinkTLS          secure.Files   `yaml:"linkTLS,omitempty" doc:"Files cert, key and ca for mutual TLS between processes; the same everywhere or nowhere."`
	StopWithin       config.Span    `yaml:"stopWithin,omitempty" doc:"How long a planned stop may take, counted from the signal."`
	WriteEvery       config.Span    `yaml:"writeEvery,omitempty" doc:"How long bills and trail are gathered before they are written; 5s if left out."`
	MemoryMB         int            `yaml:"memoryMB,omitempty" doc:"Memory that the process may use; 128 if left out."`
	MaxDescriptors   int            `yaml:"maxDescriptors,omitempty" doc:"File descriptors that the process may use; the limit of its environment if left out or greater."`
	CallersMB        int            `yaml:"callersMB,omitempty" doc:"Memory that callers, operators and strangers may hold together, for connections, heads and bodies; 35 % of memoryMB if left out."`
	CallersConns     int            `yaml:"callersConns,omitempty" doc:"Connections that callers may have open; if left out a third of the descriptors, or fewer where these would take more than half of callersMB."`
	LogLevel         string         `yaml:"logLevel,omitempty" doc:"debug, info, warn or error."`
}

// defaultMemoryMB is the default of MemoryMB. An entry of a fleet of full size takes some 54 MB.
const defaultMemoryMB = 128

// Check calls report for each key whose value is missing or not allowed.
func (c *Common) Check(report func(key, message string)) {
	for key, name := range map[string]string{"vm": c.VM, "availabilityZone": c.AvailabilityZone, "keys": c.Keys} {
		if name == "" {
			report(key, "a name is required")
		}
	}
	for key, addr := range map[string]netip.AddrPort{"link": c.Link, "operators": c.Operators, "platform": c.Platform} {
		if !addr.IsValid() {
			report(key, "an IP number and port such as 10.0.0.1:7000 is required")
		}
	}
	for key, s := range map[string]config.Span{"stopWithin": c.StopWithin, "writeEvery": c.WriteEvery} {
		if s < 0 {
			report(key, "0s (the default) or more is allowed")
		}
	}
	for key, n := range map[string]int{"memoryMB": c.MemoryMB, "maxDescriptors": c.MaxDescriptors, "callersMB": c.CallersMB, "callersConns": c.CallersConns} {
		if n < 0 {
			report(key, "0 (the default) or more is allowed")
		}
	}
	if c.CallersMB > max(c.MemoryMB, defaultMemoryMB)/2 {
		report("callersMB", "at most half of memoryMB is allowed")
	}
	c.checkAccess(report)
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		report("logLevel", fmt.Sprintf("%q is not allowed; allowed: debug, info, warn, error", c.LogLevel))
	}
}

// checkAccess checks the settings that protect the operators' listener and the links: an
// operators' address off loopback requires a token, and TLS on links requires all three
// files.
func (c *Common) checkAccess(report func(key, message string)) {
	if c.Operators.IsValid() && !c.Operators.Addr().IsLoopback() && c.OperatorsToken == "" {
		report("operators", "off loopback only with operatorsToken")
	}
	if t := c.LinkTLS; t.IsSet() && (t.Cert == "" || t.Key == "" || t.CA == "") {
		report("linkTLS", "cert, key and ca are required")
	}
}

// Checker is a settings struct that validates its values.
type Checker interface {
	// Check calls report for each key whose value is missing or not allowed; message
	// states what is allowed.
	Check(report func(key, message string))
}

// Load decodes a process settings file into dst, which must be a pointer, and checks it.
// Unknown keys are not allowed. The error is config.Problems and lists all problems of the
// file with line, key and what is allowed.
func Load(file string, dst Checker) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return config.Problems{{File: file, Line: 1, Key: "(file)", Message: err.Error()}}
	}
	var ps config.Problems
	if err := config.Decode(file, text, dst); err != nil && !errors.As(err, &ps) {
		return err
	}
	reported := make(map[int]bool)
	for _, p := range ps {
		reported[p.Line] = true
	}
	lines := config.NewLines(text)
	dst.Check(func(key, message string) {
		line := lines.Of(key)
		// A value that did not decode is not reported a second time. Line 1 stands for
		// all keys that are missing, so that several problems may have it.
		if line <= 1 || !reported[line] {
			ps = append(ps, config.Problem{File: file, Line: line, Key: key, Message: message})
		}
	})
	if len(ps) > 0 {
		return ps
	}
	return nil
}

// Keys is the content of the key file, to which the process setting keys is the path. Its
// secrets must not appear in logs or dumps.
type Keys struct {
	// Link holds the keys with which processes authenticate each other on links.
	Link []seal.Key `yaml:"link"`
	// Token holds the keys that sign session tokens and tickets.
	Token []seal.Key `yaml:"token"`
}

// Check calls report for each list of keys that is empty or has a key that is not valid.
func (k *Keys) Check(report func(key, message string)) {
	for name, keys := range map[string][]seal.Key{"link": k.Link, "token": k.Token} {
		if _, err := seal.NewKeyring(keys); err != nil {
			report(name, err.Error())
		}
	}
}
