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

// Server is a stand-in that listens.
type Server struct {
	http *fasthttp.Server
	done chan error
}

// Serve answers on ln with handle until Close.
func Serve(ln net.Listener, handle fasthttp.RequestHandler) *Server {
	s := &Server{
		http: &fasthttp.Server{Handler: handle, CloseOnShutdown: true, MaxRequestBodySize: 32 << 20, Logger: logs.LibraryLogger{}},
		done: make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(ln) }()
	return s
}

// Close ends the stand-in and returns what its listener ended with.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	return <-s.done
}

// closeTimeout bounds the wait for calls under way, such as waiting watches.
const closeTimeout = 200 * time.Millisecond
