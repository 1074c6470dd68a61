// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/logs"
)

// Server is the HTTP server of a fake.
type Server struct {
	http *fasthttp.Server
	done chan error
}

// Serve starts a server that answers calls on ln with handle until Close.
func Serve(ln net.Listener, handle fasthttp.RequestHandler) *Server {
	s := &Server{
		http: &fasthttp.Server{Handler: handle, CloseOnShutdown: true, MaxRequestBodySize: 32 << 20, Logger: logs.LibraryLogger{}},
		done: make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(ln) }()
	return s
}

// Close stops the server and returns the error that its accept loop ended with. It waits up to
// 200 ms for calls in progress.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	return <-s.done
}

// closeTimeout bounds the wait for calls in progress, such as watches without a change.
const closeTimeout = 200 * time.Millisecond
