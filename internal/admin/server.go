// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package admin is the operators' listener of a process: metrics, a dump of
// its state and the explanation of recent requests.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"net"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreport "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Server answers operators. Use New.
type Server struct {
	// Scope is the root of the process's metrics.
	Scope   tally.Scope
	token   string
	state   func() any
	explain func(string) ([]byte, bool)
	metrics fasthttp.RequestHandler
	http    *fasthttp.Server
	closer  interface{ Close() error }
}

// reportInterval is how often metrics are handed to the reporter.
const reportInterval = time.Second

// New returns a server that asks for token, unless it is empty. state and
// explain say what is shown; explain may be nil.
func New(token string, state func() any, explain func(string) ([]byte, bool)) *Server {
	registry := prometheus.NewRegistry()
	reporter := promreport.NewReporter(promreport.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "traildrift",
		CachedReporter:         reporter,
		Separator:              promreport.DefaultSeparator,
		SanitizeOptions:        &promreport.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	s := &Server{Scope: scope, token: token, state: state, explain: explain, closer: closer}
	s.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	s.http = &fasthttp.Server{Handler: s.handle, Name: "traildrift", ReadTimeout: readTimeout, CloseOnShutdown: true, NoDefaultDate: true}
	return s
}

// NewMetrics returns a server that answers /metrics alone, to everybody.
func NewMetrics() *Server { return New("", nil, nil) }

// readTimeout bounds the reading of a request.
const readTimeout = 10 * time.Second

// Serve answers on ln until Close.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Close ends the server.
func (s *Server) Close() {
	_ = s.http.Shutdown()
	_ = s.closer.Close()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.authorized(ctx) {
		ctx.Error("the operators' token is required", fasthttp.StatusUnauthorized)
		return
	}
	switch string(ctx.Path()) {
	case "/metrics":
		s.metrics(ctx)
	case "/debug/state":
		if s.state == nil {
			ctx.Error("there is /metrics", fasthttp.StatusNotFound)
			return
		}
		s.reply(ctx, s.state())
	case "/explain":
		s.serveExplain(ctx)
	default:
		ctx.Error("there are /metrics, /debug/state and /explain?id=", fasthttp.StatusNotFound)
	}
}

func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	if s.token == "" {
		return true
	}
	got := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+s.token)) == 1
}

func (s *Server) reply(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func (s *Server) serveExplain(ctx *fasthttp.RequestCtx) {
	if s.explain != nil {
		if body, ok := s.explain(string(ctx.QueryArgs().Peek("id"))); ok {
			ctx.SetContentType("application/json")
			ctx.SetBody(body)
			return
		}
	}
	ctx.Error("the request is not known here", fasthttp.StatusNotFound)
}

// Memory is the process's memory, in bytes; Mallocs counts allocations since
// the start.
type Memory struct {
	HeapAlloc  uint64 `json:"heapAlloc"`
	Sys        uint64 `json:"sys"`
	Mallocs    uint64 `json:"mallocs"`
	Goroutines int    `json:"goroutines"`
}

// ReadMemory reads the memory of this process.
func ReadMemory() Memory {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Memory{HeapAlloc: m.HeapAlloc, Sys: m.Sys, Mallocs: m.Mallocs, Goroutines: runtime.NumGoroutine()}
}
