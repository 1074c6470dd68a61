// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"net/http"
	"sort"
)

// Kind is one of the error kinds of the closed list. Its text is the wire name.
type Kind string

// Error returns the name of the kind.
func (k Kind) Error() string { return string(k) }

// The closed list of error kinds, with the condition that each reports.
const (
	BadRequest       Kind = "badRequest"       // the request is malformed
	Unauthorized     Kind = "unauthorized"     // the API key or link key is missing or unknown
	NotAllowed       Kind = "notAllowed"       // the workspace may not use the model, version or workload
	NotFound         Kind = "notFound"         // there is no such path, workload or method
	TooLarge         Kind = "tooLarge"         // the request or its answer exceeds a size limit
	RateLimited      Kind = "rateLimited"      // the workspace's rate or concurrency limit is reached
	Overloaded       Kind = "overloaded"       // the process or endpoint has no room for the request
	DeadlineTooSoon  Kind = "deadlineTooSoon"  // the expected wait in the queue exceeds the time left
	DeadlinePassed   Kind = "deadlinePassed"   // the deadline passed before the answer was complete
	NoVersion        Kind = "noVersion"        // no eligible version, or no plain service, has a usable endpoint
	VersionWithdrawn Kind = "versionWithdrawn" // the version that the session keeps is withdrawn
	NotCutOver       Kind = "notCutOver"       // requests of the district are not enabled
	SessionInvalid   Kind = "sessionInvalid"   // the token or name of the session is not valid
	SessionEnded     Kind = "sessionEnded"     // the session has ended
	KeyReused        Kind = "keyReused"        // the idempotency key is bound to another request
	KeyUnsettled     Kind = "keyUnsettled"     // it is not known whether the request of the idempotency key ran
	KeyInvalid       Kind = "keyInvalid"       // the ticket, an idempotency key issued by an entry, is not valid or has ended
	AlreadyRan       Kind = "alreadyRan"       // the request ran before, and its answer is not available
	PlatformDown     Kind = "platformDown"     // the platform did not serve a read or write that the request depends on
	StaleSettings    Kind = "staleSettings"    // the settings or API keys are missing or may be out of date
	Stopping         Kind = "stopping"         // the process or endpoint is stopping
	EndpointLost     Kind = "endpointLost"     // the connection to the endpoint broke, or the endpoint did not answer
	EndpointFailed   Kind = "endpointFailed"   // the endpoint answered with an error or an invalid answer
	Quarantined      Kind = "quarantined"      // too many endpoints crashed while they ran the request
	NotWhole         Kind = "notWhole"         // the answer is truncated
	CallerGone       Kind = "callerGone"       // the caller closed its connection
	Internal         Kind = "internal"         // any other failure
)

// Answer is the row of a kind in the table.
type Answer struct {
	// Status is the HTTP status code of the response.
	Status int
	// RetryLater says whether a later retry by the caller makes sense, so that
	// the response carries a retry time.
	RetryLater bool
	// RetryElsewhere says whether an entry or router may send the request to
	// another endpoint. If the run state is not NotRun, the request must also
	// be repeatable or resumable.
	RetryElsewhere bool
	// Advice tells the caller what to do, in one sentence.
	Advice string
}

var answers = map[Kind]Answer{
	BadRequest:       {http.StatusBadRequest, false, false, "Mend the request."},
	Unauthorized:     {http.StatusUnauthorized, false, false, "Use a valid API key."},
	NotAllowed:       {http.StatusForbidden, false, false, "Ask for a model the workspace allows."},
	NotFound:         {http.StatusNotFound, false, false, "Check the path, the workload and the model."},
	TooLarge:         {http.StatusRequestEntityTooLarge, false, false, "Send less."},
	RateLimited:      {http.StatusTooManyRequests, true, false, "Come back at retryAt."},
	Overloaded:       {http.StatusServiceUnavailable, true, true, "Come back at retryAt."},
	DeadlineTooSoon:  {http.StatusServiceUnavailable, true, true, "Come back at retryAt, or allow more time."},
	DeadlinePassed:   {http.StatusGatewayTimeout, false, false, "Read run; repeat only if it says notRun or the request may be repeated."},
	NoVersion:        {http.StatusServiceUnavailable, true, false, "Ask the operator; explain names each version's reason."},
	VersionWithdrawn: {http.StatusConflict, false, true, "Open a new session."},
	NotCutOver:       {http.StatusForbidden, false, false, "Use the old system for this district."},
	SessionInvalid:   {http.StatusBadRequest, false, false, "Open a new session."},
	SessionEnded:     {http.StatusConflict, false, false, "Open a new session."},
	KeyReused:        {http.StatusUnprocessableEntity, false, false, "Use a new key for a new request."},
	KeyUnsettled:     {http.StatusConflict, true, false, "Ask again with the same key at retryAt, or check by hand; it may have run."},
	KeyInvalid:       {http.StatusBadRequest, false, false, "Use a ticket of this workspace that has not ended."},
	AlreadyRan:       {http.StatusConflict, false, false, "It ran; its answer is no longer kept."},
	PlatformDown:     {http.StatusServiceUnavailable, true, false, "Come back at retryAt, or use a ticket."},
	StaleSettings:    {http.StatusServiceUnavailable, true, true, "Come back at retryAt."},
	Stopping:         {http.StatusServiceUnavailable, true, true, "Repeat at once; another VM serves it."},
	EndpointLost:     {http.StatusBadGateway, true, true, "Read run; repeat only if it says notRun or the request may be repeated."},
	EndpointFailed:   {http.StatusBadGateway, true, true, "Read run; repeat only if it says notRun or the request may be repeated."},
	Quarantined:      {http.StatusServiceUnavailable, true, false, "Do not repeat it before retryAt: endpoints ended under this very request, or under requests with a part of its prompt, which the message names."},
	NotWhole:         {http.StatusBadGateway, true, false, "The answer is cut; do not use it as whole."},
	CallerGone:       {499, false, false, "None; the caller closed its connection."},
	Internal:         {http.StatusInternalServerError, false, false, "Report the request ID to the operator."},
}

// Answer returns the row of k in the table, or that of Internal if k is not in
// the closed list.
func (k Kind) Answer() Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Known reports whether k is in the closed list.
func (k Kind) Known() bool {
	_, ok := answers[k]
	return ok
}

// Kinds returns the closed list in alphabetical order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}
