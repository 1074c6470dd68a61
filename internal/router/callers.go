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
	// headerMost, headerWithin and idleWithin hold until the configuration
	// says otherwise.
	headerMost   = 64 << 10
	headerWithin = config.Span(5 * time.Second)
	idleWithin   = config.Span(60 * time.Second)
	// bodyWithin bounds the reading of a body.
	bodyWithin = config.Span(10 * time.Second)
	// bodiesAgain is when a caller comes back whose body found no room, in
	// seconds.
	bodiesAgain = "0.5"
	// bodyMost bounds a body where the configuration does not, in bytes.
	bodyMost = 8 << 20
)

// newCallers returns the callers' server with the bounds of the configuration in
// force; they stay until the process ends.
func (r *Router) newCallers(ctx context.Context) *http.Server {
	b := r.Engine.Bounds()
	if b.MaxHeader == 0 {
		b.MaxHeader = headerMost
	}
	if b.HeaderTimeout == 0 {
		b.HeaderTimeout = headerWithin
	}
	if b.IdleTimeout == 0 {
		b.IdleTimeout = idleWithin
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

// serveCaller reads a request and hands it to the core.
func (r *Router) serveCaller(w http.ResponseWriter, q *http.Request) {
	now, boot := r.Engine.Now(), r.Engine.Boot()
	body, status, err := r.readBody(w, q)
	if err != nil {
		r.Log.Info("router: A body could not be read.", zap.String("path", q.URL.Path), zap.Int("status", status), logs.Err(err))
		w.Header().Set("Connection", "close")
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", bodiesAgain)
		}
		w.WriteHeader(status)
		return
	}
	defer r.bodies.free(len(body))
	request := r.wire.Request(q, body, now)
	request.ArrivedBoot = boot
	r.Engine.Serve(q.Context(), w, request)
}

// readBody reads the body of a request, or returns the status that tells what is
// wrong with it.
func (r *Router) readBody(w http.ResponseWriter, q *http.Request) ([]byte, int, error) {
	if q.ContentLength == 0 {
		return nil, 0, nil
	}
	most := int64(r.Engine.Bounds().MaxBody)
	if most == 0 {
		most = bodyMost
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(bodyWithin.After(time.Now())); err != nil {
		return nil, http.StatusInternalServerError, err
	}
	body, err := io.ReadAll(r.bodies.reader(http.MaxBytesReader(w, q.Body, most)))
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return body, 0, nil
	}
	r.bodies.free(len(body))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, err
	case errors.Is(err, errBodiesFull):
		return nil, http.StatusServiceUnavailable, err
	default:
		return nil, http.StatusBadRequest, err
	}
}
