// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/quota"
)

// listen opens the listeners for which the settings name an address. Those for other processes have an account of their
// own, so that they answer while callers hold all that they may.
func (r *Router) listen() error {
	s := &r.settings
	limits := quota.Settings{MemoryMB: s.MemoryMB, CallersMB: s.CallersMB, Descriptors: s.MaxDescriptors, CallersConns: s.CallersConns}.Limits()
	callers, others := quota.NewAccount("callers", limits.CallersBytes), quota.NewAccount("others", limits.OthersBytes)
	refusal := quota.HTTPRefusal()
	var doors []*quota.Door
	for _, l := range []struct {
		name    string
		account *quota.Account
		addr    netip.AddrPort
		dst     *net.Listener
		conns   int
	}{
		{"callers", callers, s.Listen, &r.caller, limits.Callers},
		{"readiness", others, s.Readiness, &r.ready, limits.Few},
		{"peers", others, s.Peers, &r.peer, limits.Peers},
		{"metrics", others, s.Metrics, &r.metrics, limits.Few},
	} {
		if !l.addr.IsValid() {
			continue
		}
		d, err := l.account.Listen(l.addr.String(), quota.Options{Name: l.name, MaxConns: l.conns, Refusal: refusal})
		if err != nil {
			return errors.Wrap(err, "router")
		}
		*l.dst = d
		doors = append(doors, d)
	}
	r.accountRecorder = quota.Record(r.Log, r.admin.Scope, doors...)
	return nil
}

const (
	// smallBodyBytes is the maximum size of a body at the listeners for the balancer and for other routers, and
	// smallHeaderBytes that of a head.
	smallBodyBytes   = 4 << 10
	smallHeaderBytes = 4 << 10
	// smallRequestTimeout bounds the time in which a request to these listeners is read, and that of writing the answer
	// to the balancer. The balancer sends a request once a second.
	smallRequestTimeout = 3 * time.Second
	// idleConnTimeout is how long an idle connection to these listeners is kept.
	idleConnTimeout = 30 * time.Second
)

// newSmallServer returns the HTTP server of a listener whose requests are small.
func (r *Router) newSmallServer(name string, h http.Handler) *http.Server {
	return &http.Server{
		Handler: accounted(h), ReadHeaderTimeout: smallRequestTimeout, IdleTimeout: idleConnTimeout, MaxHeaderBytes: smallHeaderBytes,
		ErrorLog: logs.NewStdLog(r.Log, name), ConnContext: quota.WithConn, ConnState: quota.OnState,
	}
}

// accounted returns a handler that charges its requests to the account, and gets small bodies that have been read.
func accounted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c := quota.FromContext(q.Context())
		c.Begin()
		status := readSmallBody(w, q, c)
		last := status != 0 || c.GivesWay()
		defer func() { c.End(q.ContentLength, last) }()
		if last {
			w.Header().Set("Connection", "close")
		}
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		h.ServeHTTP(w, q)
	})
}

// readSmallBody reads the body of a request. It returns the status of a refusal, or 0.
func readSmallBody(w http.ResponseWriter, q *http.Request, c *quota.Conn) (refusal int) {
	if q.ContentLength == 0 {
		return 0
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(smallRequestTimeout))
	if q.ContentLength > smallBodyBytes {
		return http.StatusRequestEntityTooLarge
	}
	text, err := c.ReadBody(q.Body, quota.Body{Length: q.ContentLength, MaxBytes: smallBodyBytes, Copies: 1})
	if err != nil {
		return http.StatusServiceUnavailable
	}
	_ = control.SetReadDeadline(time.Time{})
	q.Body = io.NopCloser(bytes.NewReader(text))
	return 0
}
