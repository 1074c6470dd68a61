// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// The messages of the log lines that an account reads. Routers write them letter for letter.
const (
	msgStarted   = "router: Started."
	msgConfig    = "relay: A configuration is in force."
	msgAttempt   = "relay: An attempt has ended."
	msgEnded     = "relay: A request has ended."
	msgStoreCall = "store: A call has ended."
	msgSent      = "peers: Bytes were sent to other routers."
)

// The outcomes of attempts and requests, as routers log them, that an account distinguishes.
const (
	// outcomeWhole is that of a request with a complete answer, outcomeDelivered that of the attempt
	// that gave it.
	outcomeWhole     = "whole"
	outcomeDelivered = "delivered"
	// outcomeDropped is that of an answer discarded for an attempt with a larger model.
	outcomeDropped = "dropped for a larger model"
	// outcomeSilent is that of an attempt that the router ended because its endpoint sent nothing for
	// too long.
	outcomeSilent = "silent"
	// outcomeMoved is that of an attempt whose stream continues at another endpoint.
	outcomeMoved = "moved"
	// outcomeLeft is that of an attempt whose caller left.
	outcomeLeft = "caller left"
)

// line holds the fields of a router's log line that an account uses. Fields ending in Ms are in
// milliseconds, those ending in Bytes in bytes.
type line struct {
	Time time.Time `json:"ts"`
	Msg  string    `json:"msg"`
	// VM is set in msgStarted, Version in msgConfig: the version of the configuration.
	VM      string `json:"vm"`
	Version any    `json:"version"`

	Request string `json:"request"`
	Route   string `json:"route"`
	Outcome string `json:"outcome"`
	// AimMs and PauseAimMs are the route's targets for the time to the head and for the longest
	// pause of a stream, 0 for none. HeadMs is the time to the head, -1 for none. WaitedMs is how
	// long the caller had waited with an earlier request, TookMs the time from arrival to the end.
	AimMs      int64 `json:"aimMs"`
	PauseAimMs int64 `json:"pauseAimMs"`
	HeadMs     int64 `json:"headMs"`
	WaitedMs   int64 `json:"waitedMs"`
	TookMs     int64 `json:"tookMs"`
	TokensIn   int   `json:"tokensIn"`
	// Workspace is that of the caller; empty for an anonymous request.
	Workspace string `json:"workspace"`
	// HeldMs is how long the request waited for a place; nil if it did not. RoomCause is why admission
	// control refused it, RoomAgeMs the age of the load report that decided; nil if it was neither
	// held nor refused.
	HeldMs    *int64 `json:"heldMs"`
	RoomCause string `json:"roomCause"`
	RoomAgeMs *int64 `json:"roomAgeMs"`
	// Price is the price of engine time that the request met.
	Price float64 `json:"price"`

	// The fields from SentAt to PassedCostMs are those of an attempt; see relay.Attempt.
	// UnreadTokens is the predicted number of prompt tokens that the endpoint reads, WaitMs the
	// predicted time for which it reads other prompts first, ReadMs that for reading these tokens.
	// PauseMs is the longest time between two reads of the stream. PassedOver is the endpoint that
	// held the prefix where another one was picked, empty otherwise. CostMs is the predicted wait
	// and reading time at the endpoint picked, PassedCostMs that at PassedOver.
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
	Events       int       `json:"events"`
	Error        string    `json:"error"`

	// PriceCost is what the engine time of a larger model costs others, as a fraction of the worth of a
	// good answer in time. EndMs is the median of the predicted time of the last event, EndLowMs to
	// EndHighMs the interval in which nine in ten are expected, all 0 without a prediction; TookMs of
	// an attempt is the actual time. All are counted from sending. Moved says that the stream
	// continues at another endpoint, Joint that the streams of several routers showed the silence.
	PriceCost float64 `json:"priceCost"`
	EndMs     int64   `json:"endMs"`
	EndLowMs  int64   `json:"endLowMs"`
	EndHighMs int64   `json:"endHighMs"`
	Moved     bool    `json:"moved"`
	Joint     bool    `json:"joint"`

	// Verb, Kind and Status are those of a call to the store.
	Verb   string `json:"verb"`
	Kind   string `json:"kind"`
	Status int    `json:"status"`

	// The sizes of what the router sent to other routers since the previous line of the kind.
	AttemptReportBytes int64 `json:"notesBytes"`
	TrialReportBytes   int64 `json:"reportsBytes"`
	PullRequestBytes   int64 `json:"questionsBytes"`
	PullResponseBytes  int64 `json:"answersBytes"`
}

// held returns for how long the request was held, in milliseconds; 0 if it was not.
func (l *line) held() int64 {
	if l.HeldMs == nil {
		return 0
	}
	return *l.HeldMs
}

// passedEvents reports whether an attempt passed events on to the caller.
func (l *line) passedEvents() bool {
	return l.Outcome != outcomeDropped && l.Status >= 200 && l.Status < 300 && l.Events > 0
}

// isRelevant reports whether an account uses a line. It avoids decoding the others, which would
// take most of the time.
func isRelevant(b []byte) bool {
	for _, msg := range []string{msgAttempt, msgEnded, msgStoreCall, msgSent, msgConfig, msgStarted} {
		if bytes.Contains(b, []byte(msg)) {
			return true
		}
	}
	return false
}

// parse decodes a line. The last word before its first brace, if any, is the name of the router.
// ok is false for a line that an account does not use or that cannot be decoded.
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
