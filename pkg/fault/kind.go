// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"net/http"
	"sort"
)

// Kind is one entry of the closed list of error kinds.
type Kind string

// Error returns the name of the kind.
func (k Kind) Error() string { return string(k) }

// The closed list of error kinds.
const (
	BadRequest       Kind = "badRequest"
	Unauthorized     Kind = "unauthorized"
	NotAllowed       Kind = "notAllowed"
	NotFound         Kind = "notFound"
	TooLarge         Kind = "tooLarge"
	RateLimited      Kind = "rateLimited"
	Overloaded       Kind = "overloaded"
	DeadlineTooSoon  Kind = "deadlineTooSoon"
	DeadlinePassed   Kind = "deadlinePassed"
	NoVersion        Kind = "noVersion"
	VersionWithdrawn Kind = "versionWithdrawn"
	NotCutOver       Kind = "notCutOver"
	SessionInvalid   Kind = "sessionInvalid"
	SessionEnded     Kind = "sessionEnded"
	KeyReused        Kind = "keyReused"
	KeyUnsettled     Kind = "keyUnsettled"
	KeyInvalid       Kind = "keyInvalid"
	AlreadyRan       Kind = "alreadyRan"
	PlatformDown     Kind = "platformDown"
	StaleSettings    Kind = "staleSettings"
	Stopping         Kind = "stopping"
	EndpointLost     Kind = "endpointLost"
	EndpointFailed   Kind = "endpointFailed"
	Quarantined      Kind = "quarantined"
	NotWhole         Kind = "notWhole"
	CallerGone       Kind = "callerGone"
	Internal         Kind = "internal"
)

// Answer is what a caller is told for a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// ComeBack says whether coming back later makes sense, so that the answer
	// carries a time for it.
	ComeBack bool
	// Again says whether an entry may send the request to another endpoint
	// when the kind came with the run state NotRun.
	Again bool
	// Advice is what the caller should do, in a sentence.
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
	Quarantined:      {http.StatusServiceUnavailable, true, false, "Do not repeat it before retryAt: endpoints ended under this very request."},
	NotWhole:         {http.StatusBadGateway, true, false, "The answer is cut; do not use it as whole."},
	CallerGone:       {499, false, false, "None; the caller closed its connection."},
	Internal:         {http.StatusInternalServerError, false, false, "Report the request ID to the operator."},
}

// Answer returns the row of k in the table; an unknown kind has the row of
// Internal.
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
