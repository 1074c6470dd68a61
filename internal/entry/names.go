// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/traildrift/traildrift/internal/claims"
	"github.com/traildrift/traildrift/pkg/claim"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// headerSessionKept is "false" in a response if the claim log did not accept the session's
// name; only the token in the response then keeps the session.
const headerSessionKept = "Traildrift-Session-Kept"

// maxSessionNames is the maximum number of session names in the cache of an entry. The
// claim log holds all of them.
const maxSessionNames = 50_000

// maxSessionNameBytes is the maximum length of a session's name, in bytes.
const maxSessionNameBytes = 256

// sessionNames caches the claims on session names that this entry has read, by the claim's
// key.
type sessionNames struct {
	mu sync.Mutex
	m  map[string]claim.Record
}

func (n *sessionNames) get(key string) (claim.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.m[key]
	return r, ok
}

// put adds a claim. It evicts an arbitrary one if the cache is full.
func (n *sessionNames) put(r claim.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m == nil {
		n.m = make(map[string]claim.Record)
	}
	for key := range n.m {
		if len(n.m) < maxSessionNames {
			break
		}
		delete(n.m, key)
	}
	n.m[r.Key] = r
}

// pinNamedSession pins a request to the version that its session's name is claimed for. The
// first use of a name claims it for the version that is chosen for that request. If two
// entries choose different versions, the log keeps one claim and both follow it.
func (e *Entry) pinNamedSession(r *request) *fault.Error {
	if len(r.call.Session) > maxSessionNameBytes {
		return fault.New(fault.SessionInvalid, fault.NotRun, "A session's name has at most %d bytes.", maxSessionNameBytes)
	}
	key := claims.KeyOf(r.call.Workspace, "session\x00"+r.call.Session)
	standing, ok := e.sessionNames.get(key)
	if !ok {
		var err *fault.Error
		if standing, err = e.claimSessionName(r, key, 0); err != nil {
			return err
		}
	}
	for ok := true; ok; {
		var err *fault.Error
		if standing, ok, err = e.pinFromClaim(r, key, standing); err != nil {
			return err
		}
	}
	return nil
}

// pinFromClaim pins the request to the version in a claim. If that version is withdrawn and
// the session may move, it claims the next generation and returns the claim that stands and
// true; the caller then pins to that claim. An empty claim, which the log did not accept,
// pins nothing.
func (e *Entry) pinFromClaim(r *request, key string, standing claim.Record) (claim.Record, bool, *fault.Error) {
	if standing.Value == "" {
		r.nameNotStored = true
		return standing, false, nil
	}
	var p pin
	if json.Unmarshal([]byte(standing.Value), &p) != nil {
		return standing, false, fault.New(fault.Internal, fault.NotRun, "The session's claim does not decode.")
	}
	if !e.Now().Before(p.EndsAt) {
		return standing, false, fault.New(fault.SessionEnded, fault.NotRun, "The session has ended.")
	}
	if err := e.applyPin(r, &p); err != nil {
		return standing, false, err
	}
	if r.pinned != nil {
		return standing, false, nil
	}
	next, err := e.claimSessionName(r, key, standing.Generation+1)
	return next, err == nil, err
}

// claimSessionName claims a name for the version that is chosen now, and returns the claim
// that stands. Its Value is empty if the platform does not accept the claim.
func (e *Entry) claimSessionName(r *request, key string, generation int) (claim.Record, *fault.Error) {
	now := e.Now()
	view, list := e.peers.view(now)
	snap := e.Holder.Current()
	d := e.decide(r, snap, r.effective, &view, list, nil)
	if d.Kind != "" {
		return claim.Record{}, fault.New(d.Kind, fault.NotRun, "%s", d.Kind.Answer().Advice)
	}
	value, err := json.Marshal(pin{
		Workspace: r.call.Workspace, Model: d.Model, Version: d.Version,
		OpenedAt: now, EndsAt: r.effective.Values.SessionFor.After(now),
	})
	if err != nil {
		return claim.Record{}, fault.From(err, fault.NotRun)
	}
	ctx, cancel := context.WithDeadline(r.ctx, capDeadline(now, r.call.Deadline, nameClaimTimeout))
	defer cancel()
	standing, claimErr := e.enterClaim(ctx, claim.Record{
		Key: key, Generation: generation, Run: r.id, Owner: e.Identity.Incarnation, Link: e.Identity.Link, Value: string(value),
	})
	if claimErr != nil {
		return claim.Record{}, nil
	}
	e.sessionNames.put(standing)
	return standing, nil
}

// nameClaimTimeout bounds the wait for the claim on a name. After it the request proceeds
// with a session token alone.
const nameClaimTimeout = config.Span(claimTimeout / 4)
