// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package wire holds the typed messages between entries and guards. Every
// message and every reply carries the sender's settings revision.
package wire

import (
	"net/netip"
	"time"

	"github.com/traildrift/traildrift/pkg/claim"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// Methods of the inner link.
const (
	MethodHello     = "hello"
	MethodProve     = "prove"
	MethodHeartbeat = "beat"
	MethodDelta     = "delta"
	MethodRun       = "run"
	MethodRunQuery  = "ask"
	MethodCancel    = "cancel"
	MethodChunk     = "chunk"
	MethodJoin      = "join"
	MethodLoad      = "load"
	MethodClaim     = "claim"
	MethodOrder     = "order"
	MethodPing      = "alive"
)

// Stamp is the sender's settings revision.
type Stamp struct {
	Revision int64 `json:"revision,omitempty"`
}

// Stamped is what every message is.
type Stamped interface {
	// StampedRevision returns the sender's revision.
	StampedRevision() int64
}

// StampedRevision returns the sender's revision.
func (s Stamp) StampedRevision() int64 { return s.Revision }

// Identity names a process to its peers.
type Identity struct {
	// VM names the machine it runs on.
	VM string `json:"vm"`
	// Role is entry or endpoint.
	Role string `json:"role"`
	// Incarnation is new at every start of a process.
	Incarnation      string `json:"incarnation"`
	AvailabilityZone string `json:"availabilityZone"`
	// Link is where the process listens for its peers.
	Link netip.AddrPort `json:"link"`
}

// Hello opens a link.
type Hello struct {
	Stamp
	Identity Identity `json:"identity"`
	// Nonce is fresh; the other side answers it with a MAC.
	Nonce string `json:"nonce"`
}

// HelloReply answers Hello.
type HelloReply struct {
	Stamp
	Identity Identity `json:"identity"`
	Nonce    string   `json:"nonce"`
	// MAC proves the answerer's key over the caller's nonce.
	MAC []byte `json:"mac"`
}

// Prove answers the nonce of HelloReply.
type Prove struct {
	Stamp
	MAC []byte `json:"mac"`
}

// Empty is a reply that carries nothing but the stamp.
type Empty struct {
	Stamp
}

// Heartbeat is the heartbeat of an entry towards a guard or another entry.
type Heartbeat struct {
	Stamp
	// Settled lists the runs whose bill line the platform has confirmed.
	Settled []RunKey `json:"settled,omitempty"`
	// Released says that the sender has heard that the guard is leaving, has
	// no run there and will send none.
	Released bool `json:"released,omitempty"`
}

// LoadNotice is sent by a guard whose load must be known at once, as when it
// leaves.
type LoadNotice struct {
	Stamp
	Load Load `json:"load"`
}

// HeartbeatReply answers Beat with the load of the endpoint.
type HeartbeatReply struct {
	Stamp
	Load Load `json:"load"`
}

// Load is what a guard says of its endpoint.
type Load struct {
	Pool string `json:"pool"`
	// Slots is how many runs the endpoint takes at a time.
	Slots int `json:"slots"`
	// Running and Queued count runs.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving says that no new work is taken.
	Leaving bool `json:"leaving,omitempty"`
	// Versions lists what the engine has loaded, as model@version; nil if it
	// does not say.
	Versions []string `json:"versions,omitempty"`
	// Down says that the endpoint itself does not answer.
	Down bool `json:"down,omitempty"`
	// BackoffMs is how much longer the endpoint wants no run, in milliseconds; 0 for not at all.
	BackoffMs int64 `json:"restMs,omitempty"`
	// Crashes are the runs of the last seconds that were under way when the endpoint
	// crashed, in the order of their numbers.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash is a run that was under way when its endpoint crashed.
type Crash struct {
	// Seq numbers the crashes that one incarnation of a guard tells of, from 1.
	Seq uint64 `json:"seq"`
	// Fingerprint is that of the run's request.
	Fingerprint string `json:"fingerprint"`
	// CrashAgeMs is how long ago it was, AgeMs how long the run had been there, in milliseconds.
	CrashAgeMs int64 `json:"agoMs"`
	RunAgeMs   int64 `json:"ageMs"`
}

// Delta asks for the settings that follow revision Have.
type Delta struct {
	Stamp
	// Hashes names the nodes wanted; empty asks for the head alone.
	Hashes []string `json:"hashes,omitempty"`
}

// DeltaReply answers Delta.
type DeltaReply struct {
	Stamp
	Head   config.Head       `json:"head"`
	Bodies map[string][]byte `json:"bodies,omitempty"`
}

// RunKey names one attempt of a run.
type RunKey struct {
	// RunID is unique to a request.
	RunID string `json:"runID"`
	// Attempt counts from 1.
	Attempt int `json:"attempt"`
}

// Work is what an endpoint is asked to do.
type Work struct {
	// Call is what the caller asked for, with the chosen model.
	Call
	// Version is the chosen one; empty for a plain service.
	Version    string `json:"version,omitempty"`
	Repeatable bool   `json:"repeatable,omitempty"`
	// BillID names the line that the run is billed on.
	BillID string `json:"billID"`
	// Cost is per million tokens.
	Cost float64 `json:"cost,omitempty"`
	// Fingerprint names the caller's request among its repeats.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// Run asks a guard to run work once.
type Run struct {
	Stamp
	Key  RunKey `json:"key"`
	Work Work   `json:"work"`
	// Guard is the incarnation that the request is meant for; another one
	// refuses it.
	Guard string `json:"guard"`
}

// RunQuery asks what became of a run, after a broken link. A guard that has never
// seen the run leaves a tombstone and answers that it did not run; one that
// has sends the chunks from Offset and answers as Run does.
type RunQuery struct {
	Stamp
	Key      RunKey    `json:"key"`
	Guard    string    `json:"guard"`
	Offset   int       `json:"offset"`
	Deadline time.Time `json:"deadline"`
}

// Cancel ends a run that is no longer wanted.
type Cancel struct {
	Stamp
	Key RunKey `json:"key"`
}

// Chunk is a piece of an answer.
type Chunk struct {
	Stamp
	Key    RunKey `json:"key"`
	Offset int    `json:"offset"`
	// Head comes with the first chunk.
	Head *stream.Head `json:"head,omitempty"`
	Data []byte       `json:"data,omitempty"`
}

// RunReply says how a run ended.
type RunReply struct {
	Stamp
	// Length is the whole answer's, in bytes.
	Length int `json:"length"`
	// Usage is what is billed.
	Usage Usage `json:"usage"`
	// Err is nil for a whole answer.
	Err *fault.Error `json:"err,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"promptTokens"`
	CompletionTokens int `json:"completionTokens"`
}

// Join asks another entry for the answer of a request that it claimed, or
// brings it the request of a ticket that only it may start.
type Join struct {
	Stamp
	// Incarnation is the entry that is meant.
	Incarnation string `json:"incarnation"`
	// RunID is the request that holds the key; empty with Start.
	RunID string `json:"run,omitempty"`
	// Key is the caller's own key or ticket.
	Key string `json:"key"`
	// BodyHash is that of the request, as the key binds it.
	BodyHash string `json:"bodyHash"`
	// StreamKey numbers the chunks sent back for this call.
	StreamKey RunKey `json:"stream"`
	// Start is the request of a ticket; nil only asks.
	Start *Call `json:"start,omitempty"`
}

// Ping asks whether a process still answers.
type Ping struct{ Stamp }

// Order asks a guard to have its engine load a version.
type Order struct {
	Stamp
	// Fence is the version of the roll-outs' object that the order stands in.
	// An order with an older one is refused.
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Claim asks the entry that serves a bucket of the claim log to enter a record.
// A repeat of it is harmless, as the record names its run.
type Claim struct {
	Stamp
	Record claim.Record `json:"record"`
}

// ClaimReply holds the record that stands for the key, or says that the claim
// was not written, or that it may have been.
type ClaimReply struct {
	Stamp
	Record         claim.Record `json:"held"`
	NotWritten     bool         `json:"notWritten,omitempty"`
	OutcomeUnknown bool         `json:"doubt,omitempty"`
}

// Call is a caller's request.
type Call struct {
	Workspace string `json:"workspace"`
	Workload  string `json:"workload"`
	District  string `json:"district,omitempty"`
	// Model is empty for a plain service, and where the workload leaves it
	// open; Service is empty for a model.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Session is the caller's session header.
	Session string `json:"session,omitempty"`
	// Method, Path and ContentType are those of the call.
	Method      string `json:"method"`
	Path        string `json:"path"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Stream asks for the answer in pieces.
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"maxTokens,omitempty"`
	Priority  string    `json:"priority,omitempty"`
	Deadline  time.Time `json:"deadline"`
}
