// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/traildrift/traildrift/internal/logs"
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
	// bodyRetryDelay is when a caller is asked to come back whose body exceeds the body budget.
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
	return &http.Server{
		Handler:           http.HandlerFunc(r.serveCaller),
		ReadHeaderTimeout: time.Duration(b.HeaderTimeout),
		IdleTimeout:       time.Duration(b.IdleTimeout),
		MaxHeaderBytes:    b.MaxHeader,
		ErrorLog:          logs.NewStdLog(r.Log, "callers"),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// connKey is the context key of a caller's connection.
type connKey struct{}

// setReset sets whether the connection of a request ends with a reset, also if the process is killed.
func setReset(q *http.Request, on bool) {
	c, ok := q.Context().Value(connKey{}).(*net.TCPConn)
	if !ok {
		return
	}
	linger := -1
	if on {
		linger = 0
	}
	// It fails only on a connection that has ended.
	_ = c.SetLinger(linger)
}

// serveCaller passes a request to the engine, which reads its body.
func (r *Router) serveCaller(w http.ResponseWriter, q *http.Request) {
	now, boot := r.Engine.Now(), r.Engine.Boot()
	request := r.wire.Request(q, now)
	request.ArrivedBoot = boot
	request.NoChunks = !q.ProtoAtLeast(1, 1)
	request.SetReset = func(on bool) { setReset(q, on) }
	request.BodyLength = q.ContentLength
	if q.ContentLength != 0 {
		request.ReadBody = func(ctx context.Context) (err *fault.Error) {
			request.Body, err = r.readBody(ctx, w, q)
			return err
		}
	}
	defer func() { r.bodies.release(len(request.Body)) }()
	r.Engine.Serve(q.Context(), w, request)
}

// readBody reads the body of a request, at most until ctx is done, and charges it to the body budget; serveCaller
// releases it.
func (r *Router) readBody(ctx context.Context, w http.ResponseWriter, q *http.Request) ([]byte, *fault.Error) {
	maxBytes := int64(r.Engine.Bounds().MaxBody)
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(bodyReadTimeout.After(time.Now())); err != nil {
		return nil, fault.From(err, fault.NotRun)
	}
	defer context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(time.Now()) })()
	body, err := io.ReadAll(r.bodies.reader(http.MaxBytesReader(w, q.Body, maxBytes)))
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return body, nil
	}
	r.bodies.release(len(body))
	return nil, r.bodyError(err)
}

// bodyError returns the answer to a request whose body could not be read.
func (r *Router) bodyError(err error) *fault.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, fault.NotRun, "The body has more than %d bytes.", tooLarge.Limit)
	case errors.Is(err, errBodyBudgetFull):
		return fault.New(fault.Overloaded, fault.NotRun, "The memory for bodies is used up by other requests.").WithRetryAt(bodyRetryDelay.After(r.Engine.Now()))
	default:
		return fault.New(fault.BadRequest, fault.NotRun, "The body could not be read.").WithCause(err)
	}
}
