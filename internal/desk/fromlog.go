// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package desk

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// logLine is what a story needs of a router's line.
type logLine struct {
	Msg      string `json:"msg"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	// Fingerprint names a request among its repeats.
	Fingerprint string `json:"fingerprint"`
	// text is the whole line from its first brace on.
	text string
}

// The lines that end a request, tell of an attempt, and begin a process's life.
const (
	msgEnded   = "relay: A request has ended."
	msgAttempt = "relay: An attempt has ended."
	msgStarted = "router: Started."
)

// crashTopicPrefix and quarantineTopicPrefix begin the topics of a request under which an endpoint ended and of one that
// is quarantined; the request's fingerprint follows.
const (
	crashTopicPrefix      = "crash under request "
	quarantineTopicPrefix = "quarantine of request "
)

// maxLineBytes bounds a line of a log, in bytes.
const maxLineBytes = 1 << 20

// topic names what a line changes the process's mind about; empty for nothing.
func (l *logLine) topic() string {
	switch {
	case l.Msg == msgEnded || l.Msg == msgAttempt:
		return ""
	case strings.HasPrefix(l.Msg, "mirror: "):
		return "store, " + l.Kind
	case strings.HasPrefix(l.Msg, "peers: "):
		return "peers"
	case l.Fingerprint != "":
		return l.requestTopic()
	case l.Endpoint != "":
		return "endpoint " + l.Endpoint
	case l.Service != "":
		return "roll-out of " + l.Service
	case strings.Contains(l.Msg, "configuration"):
		return "configuration"
	case strings.Contains(l.Msg, "readiness"):
		return "readiness"
	case strings.HasPrefix(l.Msg, "router: "):
		return "process"
	default:
		return ""
	}
}

// requestTopic names what a line says of a request that may end endpoints.
func (l *logLine) requestTopic() string {
	if l.Endpoint != "" {
		return crashTopicPrefix + l.Fingerprint + " of " + l.Endpoint
	}
	return quarantineTopicPrefix + l.Fingerprint
}

// ExplainFromLog reads a router's log and writes what it tells of a request: its attempts,
// its end, and what the router believed then, by the lines that came before in the
// same log, so that no clocks are compared. It reports whether the request was
// found; one that came twice is told twice.
func ExplainFromLog(w io.Writer, name string, log io.Reader, request string) (found bool, err error) {
	p := &printer{w: w}
	state := make(map[string]string)
	var attempts []logLine
	scan := bufio.NewScanner(log)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		l, ok := parseLine(scan.Bytes())
		if !ok {
			continue
		}
		switch {
		case l.Msg == msgStarted:
			// A new life of the process knows nothing of the one before.
			clear(state)
			state["process"] = l.text
		case l.topic() != "":
			state[l.topic()] = l.text
		case l.Request != request:
		case l.Msg == msgAttempt:
			attempts = append(attempts, l)
		default:
			p.requestFromLog(name, attempts, l, state)
			found, attempts = true, nil
		}
	}
	if err := scan.Err(); err != nil {
		return found, errors.Wrap(err, name)
	}
	return found, p.err
}

// parseLine reads a line, which may have something before its first brace.
func parseLine(b []byte) (l logLine, ok bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 || json.Unmarshal(b[i:], &l) != nil {
		return logLine{}, false
	}
	l.text = string(b[i:])
	return l, true
}

// requestFromLog writes one request's requestFromLog.
func (p *printer) requestFromLog(name string, attempts []logLine, end logLine, state map[string]string) {
	p.line("%s", name)
	for _, a := range attempts {
		p.line("  attempt  %s", a.text)
	}
	p.line("  end      %s", end.text)
	p.line("  believed then")
	for _, topic := range slices.Sorted(maps.Keys(state)) {
		if !isRelevant(topic, attempts, &end) {
			continue
		}
		p.line("    %s: %s", topic, state[topic])
	}
}

// isRelevant reports whether what a router believed of a topic may have decided about a request.
func isRelevant(topic string, attempts []logLine, end *logLine) bool {
	if id, ok := strings.CutPrefix(topic, "endpoint "); ok {
		return slices.ContainsFunc(attempts, func(a logLine) bool { return a.Endpoint == id })
	}
	for _, prefix := range []string{crashTopicPrefix, quarantineTopicPrefix} {
		if rest, ok := strings.CutPrefix(topic, prefix); ok {
			return end.Fingerprint != "" && strings.HasPrefix(rest, end.Fingerprint)
		}
	}
	return true
}
