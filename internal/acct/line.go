// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// The lines that an account reads.
const (
	msgStarted   = "router: Started."
	msgConfig    = "relay: A configuration is in force."
	msgAttempt   = "relay: An attempt has ended."
	msgEnded     = "relay: A request has ended."
	msgStoreCall = "store: A call has ended."
	msgSent      = "peers: Bytes were sent to other routers."
)

// The outcomes of attempts and requests that an account tells apart.
const (
	outcomeWhole   = "whole"
	outcomeDropped = "dropped for a larger model"
	outcomeSilent  = "silent"
)

// line is what an account needs of a router's line.
type line struct {
	Time time.Time `json:"ts"`
	Msg  string    `json:"msg"`
	// VM is set at a start, Version where a configuration came in force.
	VM      string `json:"vm"`
	Version any    `json:"version"`

	Request string `json:"request"`
	Route   string `json:"route"`
	Outcome string `json:"outcome"`
	// AimMs and PauseAimMs are the route's, 0 for none; HeadMs is the time to the
	// head, -1 for none.
	AimMs      int64 `json:"aimMs"`
	PauseAimMs int64 `json:"pauseAimMs"`
	HeadMs     int64 `json:"headMs"`
	WaitedMs   int64 `json:"waitedMs"`
	TookMs     int64 `json:"tookMs"`
	TokensIn   int   `json:"tokensIn"`

	SentAt       time.Time `json:"at"`
	Endpoint     string    `json:"endpoint"`
	Model        string    `json:"model"`
	CrossZone    bool      `json:"far"`
	UnreadTokens int       `json:"unread"`
	WaitMs       int64     `json:"waitMs"`
	ReadMs       int64     `json:"readMs"`
	PauseMs      int64     `json:"pauseMs"`
	SentBytes    int64     `json:"sentBytes"`
	GotBytes     int64     `json:"gotBytes"`
	PassedOver   string    `json:"passed"`
	CostMs       int64     `json:"costMs"`
	PassedCostMs int64     `json:"passedCostMs"`

	Verb   string `json:"verb"`
	Kind   string `json:"kind"`
	Status int    `json:"status"`

	// AttemptReportBytes, Reports, Questions and Answers are bytes sent to other routers.
	AttemptReportBytes int64 `json:"notesBytes"`
	TrialReportBytes   int64 `json:"reportsBytes"`
	PullRequestBytes   int64 `json:"questionsBytes"`
	PullResponseBytes  int64 `json:"answersBytes"`
}

// isRelevant is whether an account reads a line of this text: decoding is what costs time.
func isRelevant(b []byte) bool {
	for _, msg := range []string{msgAttempt, msgEnded, msgStoreCall, msgSent, msgConfig, msgStarted} {
		if bytes.Contains(b, []byte(msg)) {
			return true
		}
	}
	return false
}

// parse decodes a line, which may have something before its first brace, the last word
// of which names the router. ok is false for a line that tells an account nothing.
func parse(b []byte) (router string, l line, ok bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 || !isRelevant(b) || json.Unmarshal(b[i:], &l) != nil {
		return "", line{}, false
	}
	if words := strings.Fields(string(b[:i])); len(words) > 0 {
		router = strings.Trim(words[len(words)-1], ":|[]")
	}
	return router, l, true
}
