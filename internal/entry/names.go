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

// headerSessionKept says "false" where a session's name could not be kept, so that
// only the token in the answer keeps the session.
const headerSessionKept = "Traildrift-Session-Kept"

// maxSessionNames bounds the session names that an entry remembers; the log has all.
const maxSessionNames = 50_000

// maxSessionNameBytes bounds a session's name, in bytes.
const maxSessionNameBytes = 256

// sessionNames remembers the claims on session sessionNames that this entry has read.
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

// put remembers a claim; a full memory forgets any other.
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

// pinNamedSession pins a request to the version that its session's name stands
// for. The first use claims the name for the version that is chosen then; of
// two entries that choose differently the log keeps one, and both follow it.
func (e *Entry) pinNamedSession(r *request) *fault.Error {
	if len(r.call.Session) > maxSessionNameBytes {
		return fault.New(fault.SessionInvalid, fault.NotRun, "A session's name has at most %d bytes.", maxSessionNameBytes)
	}
	key := claims.KeyOf(r.call.Workspace, "session\x00"+r.call.Session)
	held, ok := e.sessionNames.get(key)
	if !ok {
		var err *fault.Error
		if held, err = e.claimSessionName(r, key, 0); err != nil {
			return err
		}
	}
	for ok := true; ok; {
		var err *fault.Error
		if held, ok, err = e.pinFromClaim(r, key, held); err != nil {
			return err
		}
	}
	return nil
}

// pinFromClaim pins the request to a claim's version. It reports true with a newer
// claim where the session moves.
func (e *Entry) pinFromClaim(r *request, key string, held claim.Record) (claim.Record, bool, *fault.Error) {
	if held.Value == "" {
		r.nameNotStored = true
		return held, false, nil
	}
	var p pin
	if json.Unmarshal([]byte(held.Value), &p) != nil {
		return held, false, fault.New(fault.Internal, fault.NotRun, "The session's claim does not decode.")
	}
	if !e.Now().Before(p.EndsAt) {
		return held, false, fault.New(fault.SessionEnded, fault.NotRun, "The session has ended.")
	}
	if err := e.applyPin(r, &p); err != nil {
		return held, false, err
	}
	if r.pinned != nil {
		return held, false, nil
	}
	next, err := e.claimSessionName(r, key, held.Generation+1)
	return next, err == nil, err
}

// claimSessionName claims a name for the version that is chosen now and returns the
// claim that stands. Its value is empty if the platform does not take it.
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
	held, claimErr := e.enterClaim(ctx, claim.Record{
		Key: key, Generation: generation, Run: r.id, Owner: e.Identity.Incarnation, Link: e.Identity.Link, Value: string(value),
	})
	if claimErr != nil {
		return claim.Record{}, nil
	}
	e.sessionNames.put(held)
	return held, nil
}

// nameClaimTimeout bounds the wait for a name's claim; without it the request goes on
// with a token alone.
const nameClaimTimeout = config.Span(claimTimeout / 4)
