// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Request is a caller's request, decoded.
type Request struct {
	// ID is the caller's own; each of its attempts has another.
	ID     string
	Method string
	Host   string
	// Path is without, Target with the query, both as they came.
	Path, Target string
	// Header holds what is passed on; it is not changed.
	Header http.Header
	Body   []byte
	// Key is the API key; empty without one.
	Key string
	// Session names requests that belong together; empty without one.
	Session string
	// Prefix names the parts of the prompt that requests share, in order; the
	// last is the request's own or its session's.
	Prefix []string
	// PrefixTokens is how many tokens each part has.
	PrefixTokens []int
	// TokensIn and TokensOut are the prompt's size and the most that may be
	// made; 0 if unknown.
	TokensIn, TokensOut int
	// AnyModel says that the router names the model.
	AnyModel bool
	// LastEvent is the last event of a stream that the caller holds; empty
	// for none.
	LastEvent string
	Arrived   time.Time
	// ArrivedBoot is when it arrived by the clock that counts suspensions; zero if that is
	// not known.
	ArrivedBoot time.Duration
	// Deadline is when the caller gives up; zero if it does not say.
	Deadline time.Time
	// fingerprint names the request and its repeats; zero before it was asked for.
	fingerprint poison.Fingerprint
}

// Attempt is one request on its way to one endpoint.
type Attempt struct {
	Request  *Request
	Endpoint pool.Entry
	// Model is set where the router names it.
	Model string
	// Workspace is empty for an anonymous request.
	Workspace string
	// LastEvent is the event after which the run continues; empty for none.
	LastEvent string
	// Rank is the urgency, 0 to 9; 0 comes first.
	Rank     int
	Deadline time.Time
	// OnConnected is called by Send once the connection to the endpoint is open: from then on the
	// endpoint may be running the request.
	OnConnected func()
	// hash is what other routers know the endpoint by.
	hash uint64
	// expectedHead is how long the head is expectedHead to take, readTime how long the
	// endpoint is expectedHead to read the prompt, fullReadTime how long it would read all of
	// it, and wait how long it was believed to read others first, all in seconds.
	expectedHead, readTime, fullReadTime, wait float64
	// readDoneAt is when the prompt was expected to be read, behind all that the endpoint
	// had; urgent says that it goes before that.
	readDoneAt time.Time
	urgent     bool
	// paceFactor is how many paceFactor as long as usual work was expected to take at the endpoint; over 0.
	paceFactor float64
	// backlog is how long the endpoint was believed to read what it backlog, in seconds.
	backlog float64
	// prefix names what the endpoint holds once it has read the prompt; 0 for nothing.
	// cold says that it was not believed to hold it before.
	prefix uint64
	cold   bool
	// atHome says that the prefix atHome to the endpoint, though nobody was heard to
	// have sent it there; rest is how long the prompt is read if it holds it all the
	// same, in seconds. unreadKnown says that there is no such doubt.
	atHome, unreadKnown bool
	unsharedRead        float64
	// warming says that the endpoint was warming up: what it takes says little.
	warming bool
	// loaded says that the endpoint bears the load that its service's usually do.
	loaded bool
	// inPeak says that it bears more than that, as the one endpoint under a peak.
	inPeak bool
	// unreadTokens is how many tokens of the prompt are expected to be read.
	unreadTokens int
	// sent is the request's place among those that the endpoint may be running.
	sent *sentRequest
	// harmless says that the endpoint answered the request whole, or surely did not run it.
	harmless bool
	// gotHead says that the head of an answer came that may be passed on.
	gotHead bool
	// countedAs is what the attempt counted as for the trial of its service; empty for
	// nothing.
	countedAs string
}

// Reply is an endpoint's answer once its head is there.
type Reply struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's, or -1.
	Length int64
	// IDMatches says that the answer names the request that was asked.
	IDMatches bool
	// Authenticated says that the endpoint vouches for the answer.
	Authenticated bool
	// NotRun says that the endpoint proves that it did not run the request.
	NotRun bool
	// Encoded says that the body is not as the endpoint made it.
	Encoded bool
	// Confidence is the model's own opinion of the answer, 0 to 100, or
	// sizes.Unknown.
	Confidence int
	// Pace is how many times as long as usual work takes at the endpoint; 0 if it did not tell.
	Pace float64
	// Running and Waiting are the endpoint's load; Told says that it told it.
	Running, Waiting int
	LoadReported     bool
	// Notice is what else the endpoint says of itself.
	Notice pool.Notice
}

// Send makes an attempt and returns once the head of the answer is there. The
// error is a *fault.Error that says whether the request may have run. The body
// must be closed; that ends the run if it is still under way.
type Send func(ctx context.Context, a *Attempt) (*Reply, error)

// attemptRecord is what is kept of an attempt, for rules and logs.
type attemptRecord struct {
	Endpoint string
	Model    string
	Version  string
	Why      pool.Reason
	At       time.Time
	Status   int
	// Confidence is the answer's, or sizes.Unknown.
	Confidence int
	// GoodProb is the chance that the answer is good, KeepWorth and AskWorth what keeping it and asking a
	// larger model was expected to be worth, in parts of a good answer in time.
	GoodProb, KeepWorth, AskWorth float64
	Outcome                       string
	Err                           *fault.Error
	// Load is the runs the endpoint was believed to have.
	Load int
	// CrossZone says that the endpoint is in another availability zone.
	CrossZone bool
	// UnreadTokens is how many tokens of the prompt it was expected to read, Wait and
	// Reading how long it was expected to read others' first and then these, in
	// seconds.
	UnreadTokens   int
	Wait, ReadTime float64
	// PaceFactor is how many times as long as usual work was expected to take there.
	PaceFactor float64
	// PassedOver names the endpoint that held the prefix where another was picked: Cost is
	// the wait and the reading at the one that was picked, PassedCost those at that
	// one, in seconds.
	PassedOver       string
	Cost, PassedCost float64
	// Limit is the requests a second that the endpoint takes from all routers, if Limited.
	Limit   float64
	Limited bool
	// Granted says that the request was sent in the place of another router.
	Granted bool
	// Sent and Received are the bytes of the body and of the answer.
	Sent, Received int
	// HeadMillis is how long the head took, in milliseconds.
	HeadMillis int64
	// PauseMillis is the longest time between two pieces of a stream, in
	// milliseconds.
	PauseMillis int64
	// Events counts those that were passed on.
	Events int
	// Pace is the pace of the stream; 0 if too little of it came.
	Pace time.Duration
	// CountedAs is what the attempt counted as for the trial of its service; empty for
	// nothing.
	CountedAs string
}
