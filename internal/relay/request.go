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

// Request is a decoded request of a caller. The entry sets its exported fields.
type Request struct {
	// ID is the ID that the caller's request has; each attempt has another.
	ID     string
	Method string
	Host   string
	// Path is the path without the query, Target the path with the query, both unchanged.
	Path, Target string
	// Header holds what is passed on; it must not be changed.
	Header http.Header
	Body   []byte
	// BodyLength is the length that the caller announced of a body that ReadBody reads, in bytes; -1 if it announced
	// none, 0 if there is no body.
	BodyLength int64
	// ReadBody reads Body, at most until ctx is done, and takes the memory for the request; nil if Body is set already.
	// Its error is the answer to the caller.
	ReadBody func(ctx context.Context) *fault.Error
	// CloseConn says that the caller's connection is to be closed after the answer.
	CloseConn bool
	// Grant reports whether the caller may hold n more bytes of memory, until the end of the request or until Return gives
	// them back; nil if that is not bounded.
	Grant  func(n int) bool
	Return func(n int)
	// Key is the API key; empty if there is none.
	Key string
	// Session names a session, whose requests belong together; empty if there is none.
	Session string
	// Prefix names the leading parts of the prompt that requests share, in order. The last part
	// belongs to this request or its session only.
	Prefix []string
	// PrefixTokens is the number of tokens of each part.
	PrefixTokens []int
	// TokensIn is the number of tokens of the prompt, TokensOut the maximum number of tokens of the
	// answer; 0 if unknown.
	TokensIn, TokensOut int
	// LengthHint is the caller's estimate of the number of tokens of the answer; 0 if it sent none.
	LengthHint int
	// AnyModel says that the caller leaves the choice of the model to the router.
	AnyModel bool
	// LastEvent is the ID of the last event that the caller has of a stream; empty if it has none.
	LastEvent string
	Arrived   time.Time
	// ArrivedBoot is the time of arrival on the clock Engine.Boot; zero if unknown.
	ArrivedBoot time.Duration
	// Deadline is when the caller stops waiting; zero if it sent none.
	Deadline time.Time
	// NoChunks says that the caller's protocol has no chunks, so that an answer of unknown length ends with its
	// connection.
	NoChunks bool
	// SetReset sets whether the caller's connection ends with a reset, also if the process is killed; nil if that is
	// not supported.
	SetReset func(on bool)
	// fingerprint identifies the request and its repeats. It is computed on first use and zero
	// before.
	fingerprint poison.Fingerprint
	// subjects are the shared parts of the prompt. They are computed on first use and nil before.
	subjects []poison.Subject
}

// sharedParts returns the parts of the prompt that other requests may share.
func (r *Request) sharedParts() []string { return r.Prefix[:max(len(r.Prefix)-1, 0)] }

// Attempt is one request that is sent to one endpoint.
type Attempt struct {
	Request  *Request
	Endpoint pool.Entry
	// Model is the model to name to the endpoint; empty where the caller names it.
	Model string
	// Workspace is the workspace of the caller; empty for an anonymous request.
	Workspace string
	// LastEvent is the ID of the event after which the endpoint continues a stream; empty if it
	// starts from the beginning.
	LastEvent string
	// Rank is the priority at the endpoint, 0 to 9; 0 is the most urgent.
	Rank     int
	Deadline time.Time
	// OnConnected must be called by Send once the connection to the endpoint is open. From then on
	// the endpoint may be running the request.
	OnConnected func()
	// hash is the endpoint's hash, by which other routers identify it.
	hash uint64
	// These are estimates in seconds: expectedHead of the time to the head, readTime of the time in
	// which the endpoint reads the prompt, fullReadTime of the time in which it would read the
	// prompt if it held no part of it, and wait of the time for which it reads other prompts first.
	expectedHead, readTime, fullReadTime, wait float64
	// readDoneAt is when the endpoint is expected to have read the prompt, after all prompts that
	// it had before. urgent says that the prompt is read before those.
	readDoneAt time.Time
	urgent     bool
	// paceFactor is how many times as long as usual the endpoint is expected to take; over 0.
	paceFactor float64
	// backlog is how long the endpoint was expected to read the prompts it had, in seconds.
	backlog float64
	// prefix is the hash of the prefix that the endpoint holds once it has read the prompt; 0 for
	// none. cold says that the endpoint was not known to hold it before.
	prefix uint64
	cold   bool
	// atHome says that the endpoint is the home of the prefix by its hash, though no router
	// reported to have sent it there. unsharedRead is the expected reading time, in seconds, if the
	// endpoint holds the prefix nevertheless. unreadKnown says that there is no such doubt about
	// how much of the prompt is read.
	atHome, unreadKnown bool
	unsharedRead        float64
	// warming says that the endpoint was warming up, so that its times say little.
	warming bool
	// loaded says that the endpoint has the usual load of its service's endpoints.
	loaded bool
	// inPeak says that the endpoint has more than the usual load, as the one endpoint that gets the
	// peak of a trial.
	inPeak bool
	// unreadTokens is how many tokens of the prompt the endpoint is expected to read.
	unreadTokens int
	// sent is the entry of the request in Engine.inFlight.
	sent *sentRequest
	// watch observes the attempt for joint detection of silence; nil if that is not in use.
	watch *silenceWatch
	// leaving decides whether the endpoint is left for its silence.
	leaving *leaving
	// harmless says that the endpoint answered the whole request, or certainly did not run it.
	harmless bool
	// gotHead says that the head of an answer was received that may be passed on.
	gotHead bool
	// countedAs is what the attempt counted as in the trial of its service; empty if it was not
	// counted.
	countedAs string
	// rejected says that the endpoint proved that it did not run the request, as it was full.
	rejected bool
	// life is that of the endpoint while the attempt is under way; nil if its answer is expected to announce its end.
	life *life
	// sentAt is when the attempt began, waitedAt when bytes of its answer last arrived that were waited for, zero if none
	// did; both by the clock Engine.Boot.
	sentAt, waitedAt time.Duration
}

// Reply is the answer of an endpoint once its head has been received. Send sets it.
type Reply struct {
	Status int
	// Header holds the fields that are passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes; -1 if unknown.
	Length int64
	// Unframed says that the body ends with its connection, so that its end does not show that it
	// is complete.
	Unframed bool
	// IDMatches says that the answer names the ID of the request.
	IDMatches bool
	// Authenticated says that the endpoint vouches for the answer, such as by a signature.
	Authenticated bool
	// NotRun says that the endpoint proved that it did not run the request.
	NotRun bool
	// Encoded says that the body has a content encoding, so that it is not as the endpoint made it.
	Encoded bool
	// Confidence is the model's own estimate of the answer's quality, 0 to 100, or sizes.Unknown.
	Confidence int
	// Pace is how many times as long as usual work takes at the endpoint; 0 if it did not report
	// that.
	Pace float64
	// Running and Waiting are the numbers of requests at the endpoint, if LoadReported.
	Running, Waiting int
	LoadReported     bool
	// Notice is what the endpoint reports of its limit, its leaving and its rest.
	Notice pool.Notice
}

// Send makes an attempt and returns once the head of the answer has been received. The error is a
// *fault.Error that says whether the request may have run. The caller must close the body, which
// ends the run if it is still under way.
type Send func(ctx context.Context, a *Attempt) (*Reply, error)

// attemptRecord is what is kept of an attempt for the log and for later decisions.
type attemptRecord struct {
	Endpoint string
	Model    string
	Version  string
	// Why is the reason for which the endpoint was picked.
	Why pool.Reason
	// At is when the attempt was sent.
	At time.Time
	// Status is the HTTP status of the Reply; 0 if there was none.
	Status int
	// Confidence is that of the Reply.
	Confidence int
	// GoodProb is the estimated probability that the answer is good. KeepWorth is the expected
	// worth of keeping it, AskWorth that of asking a larger model, both as fractions of the worth
	// of a good answer in time.
	GoodProb, KeepWorth, AskWorth float64
	// PriceCost is what the engine time of the larger model costs others that would be asked if engine
	// time were free, as a fraction of the worth of a good answer in time.
	PriceCost float64
	// Outcome is how the attempt ended, Err its error; nil if it did not fail.
	Outcome string
	Err     *fault.Error
	// Joint says that the attempt was ended as several routers found its endpoint silent.
	Joint bool
	// Load is the estimated number of requests at the endpoint when it was picked.
	Load int
	// CrossZone says that the endpoint is in another availability zone.
	CrossZone bool
	// UnreadTokens is how many tokens of the prompt the endpoint was expected to read. Wait is how
	// long it was expected to read other prompts first, ReadTime how long to read these tokens, in
	// seconds.
	UnreadTokens   int
	Wait, ReadTime float64
	// PaceFactor is how many times as long as usual the endpoint was expected to take.
	PaceFactor float64
	// PassedOver is the ID of the endpoint that held the prefix where another one was picked; empty
	// otherwise. Cost is the expected wait and reading time at the endpoint that was picked,
	// PassedCost that at PassedOver, in seconds.
	PassedOver       string
	Cost, PassedCost float64
	// Limit is the number of requests a second that the endpoint takes from all routers together,
	// if Limited.
	Limit   float64
	Limited bool
	// Granted says that another router granted the request from its share of the limit.
	Granted bool
	// Sent is the size of the request's body, Received that of the answer's, in bytes.
	Sent, Received int
	// HeadMillis is the time from sending to the head or to the failure, in milliseconds.
	HeadMillis int64
	// PauseMillis is the longest time between two reads of a stream, in milliseconds.
	PauseMillis int64
	// Events is the number of events that were passed on, FirstEvent and LastEvent the IDs of the first and the
	// last of them; empty if there are none.
	Events                int
	FirstEvent, LastEvent string
	// Framing is the end of the body that the head of the Reply announced, BodyEnd the end that came. Both are
	// empty without a Reply.
	Framing, BodyEnd bodyEnd
	// Liveness is what was found of the endpoint after an unannounced end; empty if that was not checked.
	Liveness Liveness
	// SentStart is when the endpoint's incarnation had started by the entry that the attempt was sent by, ListedStart by
	// the entry that was listed when Liveness was found; zero where the entry does not tell. CheckMillis is the time
	// from the end of the body until Liveness was found, in milliseconds.
	SentStart, ListedStart time.Time
	CheckMillis            int64
	// Continuity is what showed that the process found alive is the one that made the answer; empty if nothing did.
	Continuity continuity
	// Pace is the shortest of the first times between reads of the stream; 0 if there were fewer of
	// them than needed.
	Pace time.Duration
	// CountedAs is what the attempt counted as in the trial of its service; empty if it was not
	// counted.
	CountedAs string
	// End is the prediction of the end of the stream.
	End endRecord
	// Left is why the endpoint was left for another; empty if it was not. Outlook is what was expected then.
	Left    string
	Outlook *outlook
}
