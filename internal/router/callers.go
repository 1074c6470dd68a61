// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/quota"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

const (
	// defaultMaxHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply if the configuration
	// sets no value.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = config.Span(5 * time.Second)
	defaultIdleTimeout    = config.Span(60 * time.Second)
	// bodyReadTimeout bounds the time in which a body is read.
	bodyReadTimeout = config.Span(10 * time.Second)
	// lingerTime is how long the rest of a body is read after its request was refused, so that the answer is not lost to a
	// reset.
	lingerTime = config.Span(500 * time.Millisecond)
	// bodyRetryDelay is when a caller is asked to come back for whose request there is no memory.
	bodyRetryDelay = config.Span(500 * time.Millisecond)
	// defaultMaxBodyBytes bounds a body if the configuration does not.
	defaultMaxBodyBytes = 8 << 20
)

// newCallers returns the HTTP server for callers, with the bounds of the configuration in force. The
// bounds do not change until the process ends. The engine ends requests; the end of ctx does not.
func (r *Router) newCallers(ctx context.Context) *http.Server {
	b := r.Engine.Bounds()
	if b.MaxHeader == 0 {
		b.MaxHeader = defaultMaxHeaderBytes
	}
	if b.HeaderTimeout == 0 {
		b.HeaderTimeout = defaultHeaderTimeout
	}
	if b.IdleTimeout == 0 {
		b.IdleTimeout = defaultIdleTimeout
	}
	if d, ok := r.caller.(*quota.Door); ok {
		d.SetWriteTimeout(time.Duration(b.IdleTimeout))
	}
	return &http.Server{
		Handler:           http.HandlerFunc(r.serveCaller),
		ReadHeaderTimeout: time.Duration(b.HeaderTimeout),
		IdleTimeout:       time.Duration(b.IdleTimeout),
		MaxHeaderBytes:    b.MaxHeader,
		ErrorLog:          logs.NewStdLog(r.Log, "callers"),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
		ConnContext:       quota.WithConn,
		ConnState:         quota.OnState,
	}
}

// setReset sets whether the connection of a request ends with a reset, also if the process is killed.
func setReset(c *quota.Conn, on bool) {
	linger := -1
	if on {
		linger = 0
	}
	// It fails only on a connection that has ended.
	_ = c.SetLinger(linger)
}

// serveCaller passes a request to the engine, which has its body read once it knows the route.
func (r *Router) serveCaller(w http.ResponseWriter, q *http.Request) {
	now, boot := r.Engine.Now(), r.Engine.Boot()
	c := quota.FromContext(q.Context())
	c.Begin()
	defer func() {
		last := w.Header().Get("Connection") == "close" || q.Close
		if last && q.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(lingerTime.After(time.Now()))
		}
		c.End(q.ContentLength, last)
	}()
	request := r.wire.Request(q, now)
	request.ArrivedBoot = boot
	request.NoChunks = !q.ProtoAtLeast(1, 1)
	request.SetReset = func(on bool) { setReset(c, on) }
	request.BodyLength, request.CloseConn = q.ContentLength, c.GivesWay()
	request.Grant, request.Return = func(n int) bool { return c.Grant(n) == nil }, c.Return
	request.ReadBody = func(ctx context.Context) (err *fault.Error) {
		request.Body, err = r.readBody(ctx, w, q, c)
		return err
	}
	r.Engine.Serve(q.Context(), w, request)
}

// readBody reads the body of a request, at most until ctx is done, and charges the request to the connection until its
// end.
func (r *Router) readBody(ctx context.Context, w http.ResponseWriter, q *http.Request, c *quota.Conn) ([]byte, *fault.Error) {
	maxBytes := r.Engine.Bounds().MaxBody
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	var body []byte
	if q.ContentLength != 0 {
		control := http.NewResponseController(w)
		if err := control.SetReadDeadline(bodyReadTimeout.After(time.Now())); err != nil {
			return nil, fault.From(err, fault.NotRun)
		}
		defer context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(time.Now()) })()
		var err error
		if body, err = c.ReadBody(q.Body, quota.Body{Length: q.ContentLength, MaxBytes: maxBytes, Copies: 1}); err != nil {
			return nil, r.bodyError(err, maxBytes)
		}
		_ = control.SetReadDeadline(time.Time{})
	}
	if err := c.BeginService(); err != nil {
		return nil, r.bodyError(err, maxBytes)
	}
	return body, nil
}

// bodyError returns the answer to a request whose body could not be read; maxBytes is the maximum length of a body.
func (r *Router) bodyError(err error, maxBytes int) *fault.Error {
	switch {
	case errors.Is(err, quota.ErrTooLarge):
		return fault.New(fault.TooLarge, fault.NotRun, "The body has more than %d bytes.", maxBytes)
	case errors.Is(err, quota.ErrNoMemory):
		return fault.New(fault.Overloaded, fault.NotRun, "The memory for callers is used up by other requests.").WithRetryAt(bodyRetryDelay.After(r.Engine.Now()))
	default:
		return fault.New(fault.BadRequest, fault.NotRun, "The body could not be read.").WithCause(err)
	}
}
