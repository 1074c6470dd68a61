// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/quota"
)

// listen opens the listeners for which the settings name an address. Their connections are on one account.
func (r *Router) listen() error {
	s := &r.settings
	limits := quota.Settings{MemoryMB: s.MemoryMB, CallersMB: s.CallersMB, Descriptors: s.MaxDescriptors, CallersConns: s.CallersConns}.Limits()
	r.account = quota.NewAccount(limits.Bytes)
	refusal := quota.HTTPRefusal()
	var doors []*quota.Door
	for _, l := range []struct {
		name  string
		addr  netip.AddrPort
		dst   *net.Listener
		conns int
	}{{"callers", s.Listen, &r.caller, limits.Callers}, {"readiness", s.Readiness, &r.ready, limits.Few}, {"peers", s.Peers, &r.peer, limits.Peers}, {"metrics", s.Metrics, &r.metrics, limits.Few}} {
		if !l.addr.IsValid() {
			continue
		}
		d, err := r.account.Listen(l.addr.String(), quota.Options{Name: l.name, MaxConns: l.conns, Refusal: refusal})
		if err != nil {
			return errors.Wrap(err, "router")
		}
		*l.dst = d
		doors = append(doors, d)
	}
	r.accountRecorder = quota.Record(r.account, r.Log, r.admin.Scope, doors...)
	return nil
}

// headerReadTimeout bounds the time in which the header of a request to the readiness or peer listener is read.
// idleConnTimeout is how long an idle connection to these is kept; the balancer sends a request once a second.
const (
	headerReadTimeout = 3 * time.Second
	idleConnTimeout   = 30 * time.Second
)
