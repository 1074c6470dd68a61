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

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/config"
)

const (
	// defaultMaxHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply if the configuration
	// sets no value.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = config.Span(5 * time.Second)
	defaultIdleTimeout    = config.Span(60 * time.Second)
	// bodyReadTimeout bounds the time in which a body is read.
	bodyReadTimeout = config.Span(10 * time.Second)
	// bodyRetryAfter is the Retry-After value, in seconds, of the response to a request whose body
	// exceeds the body budget.
	bodyRetryAfter = "0.5"
	// defaultMaxBodyBytes bounds a body if the configuration does not.
	defaultMaxBodyBytes = 8 << 20
)

// newCallers returns the HTTP server for callers, with the bounds of the configuration in force. The
// bounds do not change until the process ends.
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
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// serveCaller reads the body of a request and passes the request to the engine.
func (r *Router) serveCaller(w http.ResponseWriter, q *http.Request) {
	now, boot := r.Engine.Now(), r.Engine.Boot()
	body, status, err := r.readBody(w, q)
	if err != nil {
		r.Log.Info("router: The body of a request could not be read.", zap.String("path", q.URL.Path), zap.Int("status", status), logs.Err(err))
		w.Header().Set("Connection", "close")
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", bodyRetryAfter)
		}
		w.WriteHeader(status)
		return
	}
	defer r.bodies.release(len(body))
	request := r.wire.Request(q, body, now)
	request.ArrivedBoot = boot
	r.Engine.Serve(q.Context(), w, request)
}

// readBody reads the body of a request and charges it to the body budget; serveCaller releases it.
// If it fails, it returns the HTTP status for the response.
func (r *Router) readBody(w http.ResponseWriter, q *http.Request) ([]byte, int, error) {
	if q.ContentLength == 0 {
		return nil, 0, nil
	}
	maxBytes := int64(r.Engine.Bounds().MaxBody)
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(bodyReadTimeout.After(time.Now())); err != nil {
		return nil, http.StatusInternalServerError, err
	}
	body, err := io.ReadAll(r.bodies.reader(http.MaxBytesReader(w, q.Body, maxBytes)))
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return body, 0, nil
	}
	r.bodies.release(len(body))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, err
	case errors.Is(err, errBodyBudgetFull):
		return nil, http.StatusServiceUnavailable, err
	default:
		return nil, http.StatusBadRequest, err
	}
}
