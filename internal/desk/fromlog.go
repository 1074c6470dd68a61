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

// logLine holds the fields of a router's log line that ExplainFromLog uses.
type logLine struct {
	Msg      string `json:"msg"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	// Fingerprint identifies a request across its repeats.
	Fingerprint string `json:"fingerprint"`
	// Parts are the shared parts of the prompt of a request under which an endpoint crashed, Part is
	// a part that is suspected or quarantined. QuarantinedBy is the fingerprint of the part because
	// of which a request was refused.
	Parts         []string `json:"parts"`
	Part          string   `json:"part"`
	QuarantinedBy string   `json:"quarantinedBy"`
	// text is the line from its first brace on.
	text string
}

// The messages of the lines of a request's end, of an attempt's end, and of a process's start.
const (
	msgEnded   = "relay: A request has ended."
	msgAttempt = "relay: An attempt has ended."
	msgStarted = "router: Started."
)

// Prefixes of the topics of a request during which an endpoint crashed, of a quarantined request, and
// of a quarantined part of prompts. The fingerprint follows.
const (
	crashTopicPrefix      = "crash under request "
	quarantineTopicPrefix = "quarantine of request "
	partTopicPrefix       = "quarantine of part "
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// topic returns the name of the part of the router's state that a line reports; empty if it reports
// none. A later line of the same topic replaces an earlier one.
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

// requestTopic returns the topic of a line on a request, or a part, that is suspected of crashing
// endpoints.
func (l *logLine) requestTopic() string {
	if l.Endpoint != "" {
		return crashTopicPrefix + l.Fingerprint + " of " + l.Endpoint
	}
	if l.Part != "" {
		return partTopicPrefix + l.Fingerprint
	}
	return quarantineTopicPrefix + l.Fingerprint
}

// ExplainFromLog reads a router's log and writes what it holds on a request: the lines of its
// attempts and of its end, and the state of the router at its end. This state is taken from the
// lines that precede the end in the same log, so that no clocks are compared. It reports whether
// the request was found; a request ID that occurs twice is written twice. name is the name of the
// log in the output and in errors. ExplainFromLog returns the error of w or log, or
// bufio.ErrTooLong if a line is longer than 1 MiB.
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
			// A restarted process has none of the state from before.
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

// parseLine decodes a line, ignoring text before its first brace. ok is false if it is not JSON.
func parseLine(b []byte) (l logLine, ok bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 || json.Unmarshal(b[i:], &l) != nil {
		return logLine{}, false
	}
	l.text = string(b[i:])
	return l, true
}

// requestFromLog writes the lines of one request and the topics of the state that are relevant to it.
func (p *printer) requestFromLog(name string, attempts []logLine, end logLine, state map[string]string) {
	p.line("%s", name)
	for _, a := range attempts {
		p.line("  attempt  %s", a.text)
	}
	p.line("  end      %s", end.text)
	p.line("  believed then")
	part := quarantinedPart(&end, state)
	for _, topic := range slices.Sorted(maps.Keys(state)) {
		if !isRelevant(topic, attempts, &end) && !crashedUnder(part, state[topic]) {
			continue
		}
		p.line("    %s: %s", topic, state[topic])
	}
}

// quarantinedPart returns the ID of the part because of which a request was refused; empty if there is
// none or the log does not name it.
func quarantinedPart(end *logLine, state map[string]string) string {
	l, ok := parseLine([]byte(state[partTopicPrefix+end.QuarantinedBy]))
	if !ok {
		return ""
	}
	return l.Part
}

// crashedUnder reports whether a line tells of a crash under a request with a part.
func crashedUnder(part, text string) bool {
	l, ok := parseLine([]byte(text))
	return ok && part != "" && slices.Contains(l.Parts, part)
}

// isRelevant reports whether the state of a topic may have influenced the decisions on a request.
// That of an endpoint is relevant if an attempt went to it, that of a suspected request if it has the
// same fingerprint, and that of a part if the request was refused because of it; all other topics
// always are.
func isRelevant(topic string, attempts []logLine, end *logLine) bool {
	if id, ok := strings.CutPrefix(topic, "endpoint "); ok {
		return slices.ContainsFunc(attempts, func(a logLine) bool { return a.Endpoint == id })
	}
	if p, ok := strings.CutPrefix(topic, partTopicPrefix); ok {
		return p == end.QuarantinedBy
	}
	for _, prefix := range []string{crashTopicPrefix, quarantineTopicPrefix} {
		if rest, ok := strings.CutPrefix(topic, prefix); ok {
			return end.Fingerprint != "" && strings.HasPrefix(rest, end.Fingerprint)
		}
	}
	return true
}
