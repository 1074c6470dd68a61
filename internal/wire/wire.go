// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package wire defines the messages that entries and guards exchange over an
// internal/link connection. They are encoded as JSON. Every message and every
// reply carries the sender's settings revision.
package wire

import (
	"net/netip"
	"time"

	"github.com/traildrift/traildrift/pkg/claim"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// Methods of the link protocol. MethodDelta is served by every process,
// MethodChunk and MethodLoad are notifications to an entry, and MethodCancel is
// a notification to a guard. MethodHeartbeat, MethodRun, MethodRunQuery and
// MethodOrder are calls from an entry to a guard; MethodJoin, MethodClaim and
// MethodPing are calls between entries.
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

// Stamp is the part that all messages share.
type Stamp struct {
	// Revision is the settings revision in force at the sender.
	Revision int64 `json:"revision,omitempty"`
}

// Stamped is implemented by every message, through its embedded Stamp.
type Stamped interface {
	// StampedRevision returns the settings revision in force at the sender.
	StampedRevision() int64
}

// StampedRevision returns the settings revision in force at the sender.
func (s Stamp) StampedRevision() int64 { return s.Revision }

// Identity identifies a process to its peers.
type Identity struct {
	// VM is the name of the VM that the process runs on.
	VM string `json:"vm"`
	// Role is store.RoleEntry or store.RoleEndpoint.
	Role string `json:"role"`
	// Incarnation is an ID that is unique to each start of a process.
	Incarnation      string `json:"incarnation"`
	AvailabilityZone string `json:"availabilityZone"`
	// Link is the address at which the process accepts links.
	Link netip.AddrPort `json:"link"`
}

// Hello is the first message of the handshake, sent by the process that dialled.
type Hello struct {
	Stamp
	// Identity identifies the sender.
	Identity Identity `json:"identity"`
	// Nonce is a random challenge, new for each link. The peer authenticates it
	// in HelloReply.MAC.
	Nonce string `json:"nonce"`
}

// HelloReply answers Hello.
type HelloReply struct {
	Stamp
	// Identity identifies the process that accepted the link.
	Identity Identity `json:"identity"`
	// Nonce is a random challenge, new for each link, for Prove.MAC.
	Nonce string `json:"nonce"`
	// MAC authenticates Hello.Nonce and the replying incarnation with the link key.
	MAC []byte `json:"mac"`
}

// Prove is the last message of the handshake.
type Prove struct {
	Stamp
	// MAC authenticates HelloReply.Nonce and the dialling incarnation with the link key.
	MAC []byte `json:"mac"`
}

// Empty is a reply without further content.
type Empty struct {
	Stamp
}

// Heartbeat is sent periodically by an entry to each guard.
type Heartbeat struct {
	Stamp
	// Settled lists the runs at the guard whose bill line the platform has
	// confirmed since the last heartbeat that was answered.
	Settled []RunKey `json:"settled,omitempty"`
	// Released reports that the entry knows that the guard is leaving, has no
	// run there and will send none.
	Released bool `json:"released,omitempty"`
}

// LoadNotice is sent by a guard to all entries when a change of its load cannot
// wait for the next heartbeat: when it starts to leave, when its endpoint has
// crashed and when its engine asks for backoff.
type LoadNotice struct {
	Stamp
	Load Load `json:"load"`
}

// HeartbeatReply answers Heartbeat.
type HeartbeatReply struct {
	Stamp
	Load Load `json:"load"`
}

// Load is the state of a guard and of its endpoint, as reported by the guard.
type Load struct {
	// Pool is the pool that the endpoint belongs to.
	Pool string `json:"pool"`
	// Slots is the maximum number of concurrent runs at the endpoint.
	Slots int `json:"slots"`
	// Running is the number of runs that hold a slot, Queued the number of runs
	// that wait for one.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving reports that the guard is stopping and refuses new runs.
	Leaving bool `json:"leaving,omitempty"`
	// Versions lists the versions that the engine has loaded, as model@version;
	// nil if the engine does not report them.
	Versions []string `json:"versions,omitempty"`
	// Down reports that the endpoint does not accept connections.
	Down bool `json:"down,omitempty"`
	// BackoffMs is how much longer the endpoint refuses all runs, in
	// milliseconds, as it asked with Retry-After; 0 if it accepts runs.
	BackoffMs int64 `json:"restMs,omitempty"`
	// Crashes lists the runs that were in progress when the endpoint crashed
	// within the last 10 s, by increasing Seq.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash is a run that was in progress when its endpoint crashed. Its request may
// be the cause of the crash.
type Crash struct {
	// Seq numbers the crashes that one incarnation of a guard reports, from 1.
	// Entries use it to skip those that they have received before.
	Seq uint64 `json:"seq"`
	// Fingerprint is the fingerprint of the run's request, as in Work.
	Fingerprint string `json:"fingerprint"`
	// CrashAgeMs is the time since the crash was detected, in milliseconds.
	CrashAgeMs int64 `json:"agoMs"`
	// RunAgeMs is the time from the start of the run to the crash, in milliseconds.
	RunAgeMs int64 `json:"ageMs"`
}

// Delta queries the settings in force at the peer. A process that lags behind
// first queries the head and then the nodes that it does not hold.
type Delta struct {
	Stamp
	// Hashes lists the hashes of the nodes to return; if it is empty, the head
	// alone is returned.
	Hashes []string `json:"hashes,omitempty"`
}

// DeltaReply answers Delta.
type DeltaReply struct {
	Stamp
	// Head is the head of the settings in force; zero if Delta named hashes.
	Head config.Head `json:"head"`
	// Bodies holds the encoded nodes by hash. Nodes that the peer does not hold
	// are left out.
	Bodies map[string][]byte `json:"bodies,omitempty"`
}

// RunKey identifies one attempt of a run.
type RunKey struct {
	// RunID is the ID of the request that the run serves.
	RunID string `json:"runID"`
	// Attempt counts from 1.
	Attempt int `json:"attempt"`
}

// Work is the work of a run.
type Work struct {
	// Call is the caller's request, with the chosen model and without the session.
	Call
	// Version is the chosen version of the model; empty for a plain service.
	Version string `json:"version,omitempty"`
	// Repeatable reports that the request may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// BillID is the ID of the bill line of the request.
	BillID string `json:"billID"`
	// Cost is the price of the version per million tokens.
	Cost float64 `json:"cost,omitempty"`
	// Fingerprint is equal for a request of the caller and its repeats; the body
	// is not, as it names the version.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// Run asks a guard to run Work once. A guard refuses a Key that it has received
// before.
type Run struct {
	Stamp
	Key  RunKey `json:"key"`
	Work Work   `json:"work"`
	// Guard is the incarnation of the guard that may run the work; any other
	// refuses it.
	Guard string `json:"guard"`
}

// RunQuery asks a guard for the outcome of a run after the link broke. A guard
// that has not received the run stores a tombstone, which refuses the run if it
// arrives later, and answers that it did not run. A guard that has received it
// sends the chunks from Offset on and answers as it answers Run.
type RunQuery struct {
	Stamp
	Key RunKey `json:"key"`
	// Guard is the incarnation that Run was sent to. Another one answers that
	// the run may have run.
	Guard string `json:"guard"`
	// Offset is the number of bytes of the answer that the entry holds.
	Offset int `json:"offset"`
	// Deadline is the deadline of the request; a tombstone is kept until after it.
	Deadline time.Time `json:"deadline"`
}

// Cancel ends a run whose answer is no longer needed.
type Cancel struct {
	Stamp
	Key RunKey `json:"key"`
}

// Chunk is a part of an answer.
type Chunk struct {
	Stamp
	// Key is the key of the run, or Join.StreamKey.
	Key RunKey `json:"key"`
	// Offset is the position of Data in the answer, in bytes.
	Offset int `json:"offset"`
	// Head is set in the first chunk of an answer and whenever the head has
	// changed; nil otherwise.
	Head *stream.Head `json:"head,omitempty"`
	Data []byte       `json:"data,omitempty"`
}

// RunReply is the outcome of a run.
type RunReply struct {
	Stamp
	// Length is the length of the answer in bytes.
	Length int `json:"length"`
	// Usage is the number of tokens to be billed.
	Usage Usage `json:"usage"`
	// Err is why the run was refused or its answer is incomplete; nil for a
	// complete answer.
	Err *fault.Error `json:"err,omitempty"`
}

// Usage holds the token counts of a run, as reported by the engine.
type Usage struct {
	PromptTokens     int `json:"promptTokens"`
	CompletionTokens int `json:"completionTokens"`
}

// Join asks another entry for the answer of a request that it has claimed, or
// forwards the request of a ticket to the one entry that may start it. The answer
// is sent in chunks, starting with an empty one as soon as the request is known.
type Join struct {
	Stamp
	// Incarnation is the incarnation of the entry that holds the claim; any
	// other refuses.
	Incarnation string `json:"incarnation"`
	// RunID is the ID of the request that holds the key; empty if Start is set.
	RunID string `json:"run,omitempty"`
	// Key is the idempotency key or ticket that the caller sent.
	Key string `json:"key"`
	// BodyHash is the hash of the request that the key is bound to.
	BodyHash string `json:"bodyHash"`
	// StreamKey is the key of the chunks that are sent back for this call.
	StreamKey RunKey `json:"stream"`
	// Start is the request of a ticket, to be started; nil to join a request
	// that was started before.
	Start *Call `json:"start,omitempty"`
}

// Ping asks whether a process still answers. A process that is frozen or cut off
// closes no connection, so that a broken link alone does not show its failure.
type Ping struct{ Stamp }

// Order asks a guard to have its engine load a version.
type Order struct {
	Stamp
	// Fence is the fencing token of the order: the version of the stored object
	// of roll-outs that the order was read from. An order of an older version
	// is refused.
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Claim asks the entry that serves a bucket of the claim log to write a record.
// It is idempotent, as the record names its run.
type Claim struct {
	Stamp
	Record claim.Record `json:"record"`
}

// ClaimReply answers Claim. If neither NotWritten nor OutcomeUnknown is set,
// Record is the record that holds the key, which may be that of another run.
type ClaimReply struct {
	Stamp
	Record claim.Record `json:"held"`
	// NotWritten reports that the claim was not written and will not be.
	NotWritten bool `json:"notWritten,omitempty"`
	// OutcomeUnknown reports that the claim may have been written.
	OutcomeUnknown bool `json:"doubt,omitempty"`
}

// Call is a caller's request.
type Call struct {
	Workspace string `json:"workspace"`
	Workload  string `json:"workload"`
	District  string `json:"district,omitempty"`
	// Model is the requested model; empty for a plain service and if the
	// workload does not name one.
	Model string `json:"model,omitempty"`
	// Service is the requested plain service; empty for a model.
	Service string `json:"service,omitempty"`
	// Session is the value of the caller's session header.
	Session string `json:"session,omitempty"`
	// Method, Path and ContentType are those of the HTTP request; Path is the
	// path at the endpoint.
	Method      string `json:"method"`
	Path        string `json:"path"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Stream reports that the answer is requested as an event stream.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens is the maximum number of tokens to generate; 0 if not given.
	MaxTokens int `json:"maxTokens,omitempty"`
	// Priority is a priority of pkg/config, such as config.Patient.
	Priority string `json:"priority,omitempty"`
	// Deadline is when the answer must be complete.
	Deadline time.Time `json:"deadline"`
}
