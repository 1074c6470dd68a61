// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"strings"
	"time"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// sessionPrefix is the prefix of session tokens.
const sessionPrefix = "tds1"

// newSession is the value of the session header that opens a session.
const newSession = "new"

// pin is the content of a session token, and of a claim on a session's name.
type pin struct {
	Workspace string    `json:"workspace"`
	Model     string    `json:"model"`
	Version   string    `json:"version"`
	OpenedAt  time.Time `json:"openedAt"`
	EndsAt    time.Time `json:"endsAt"`
}

// resolveSession reads the session header of a request and pins the request to the
// session's version. The header holds newSession, a session token or a session's name.
func (e *Entry) resolveSession(r *request) *fault.Error {
	token := r.call.Session
	if token == "" {
		return nil
	}
	if token == newSession {
		r.record.Session = "opened"
		return nil
	}
	if !strings.HasPrefix(token, sessionPrefix+".") {
		return e.pinNamedSession(r)
	}
	var p pin
	if err := e.Tokens.Open(sessionPrefix, token, &p); err != nil {
		return fault.New(fault.SessionInvalid, fault.NotRun, "The session token does not verify.")
	}
	if p.Workspace != r.call.Workspace {
		return fault.New(fault.SessionInvalid, fault.NotRun, "The session token is another workspace's.")
	}
	if !e.Now().Before(p.EndsAt) {
		return fault.New(fault.SessionEnded, fault.NotRun, "The session ended at %s.", p.EndsAt.Format(time.RFC3339))
	}
	return e.applyPin(r, &p)
}

// applyPin pins the request to the session's version. If that version is withdrawn, the
// session moves to another one if the settings allow it; else the request is refused.
func (e *Entry) applyPin(r *request, p *pin) *fault.Error {
	v, ok := e.Holder.Current().Version(p.Model, p.Version)
	if ok && v.State != config.StateWithdrawn {
		r.pinned = p
		r.record.Session = "kept"
		return nil
	}
	if *r.effective.Values.OnWithdrawn == config.NewSession {
		r.record.Session = "moved"
		return nil
	}
	return fault.New(fault.VersionWithdrawn, fault.NotRun, "The session's version %s@%s is withdrawn.", p.Model, p.Version)
}

// sessionToken returns the session token for the response: the one of the request, or a new
// one for the version that answered. It is empty without a session.
func (e *Entry) sessionToken(r *request, model, version string) string {
	if r.call.Session == "" || model == "" {
		return ""
	}
	if r.pinned != nil && strings.HasPrefix(r.call.Session, sessionPrefix+".") {
		return r.call.Session
	}
	now := e.Now()
	p := pin{Workspace: r.call.Workspace, Model: model, Version: version, OpenedAt: now, EndsAt: r.effective.Values.SessionFor.After(now)}
	if r.pinned != nil {
		p = *r.pinned
	}
	token, err := e.Tokens.Seal(sessionPrefix, p)
	if err != nil {
		return ""
	}
	return token
}
