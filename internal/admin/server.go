// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package admin serves a process's HTTP endpoints for operators: metrics in Prometheus
// format, a dump of the state and explanations of recent requests, both as JSON.
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

	"github.com/traildrift/traildrift/internal/quota"
)

// Server handles the HTTP requests of operators. It must be created with New or
// NewMetrics.
type Server struct {
	// Scope is the root scope of the process's metrics.
	Scope tally.Scope
	// token is the bearer token that requests must have; empty for none.
	token   string
	state   func() any
	explain func(string) ([]byte, bool)
	metrics fasthttp.RequestHandler
	http    *fasthttp.Server
	// closer stops the reporting of Scope.
	closer interface{ Close() error }
}

// reportInterval is the interval at which Scope passes metrics to the Prometheus reporter.
const reportInterval = time.Second

// New returns a server that requires token as the bearer token of every request, unless
// token is empty. /metrics serves the metrics of Scope. /debug/state serves the value that
// state returns, as JSON, and is not found if state is nil. /explain?id= serves the JSON
// that explain returns for a request ID, and is not found if explain is nil or returns
// false.
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
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "traildrift", ReadTimeout: readTimeout, WriteTimeout: readTimeout, MaxRequestBodySize: maxRequestBytes,
		CloseOnShutdown: true, NoDefaultDate: true, ConnState: quota.OnFastState,
	}
	return s
}

// NewMetrics returns a server that serves only /metrics and requires no token.
func NewMetrics() *Server { return New("", nil, nil) }

const (
	// readTimeout is the timeout of reading a request, and of writing its answer.
	readTimeout = 10 * time.Second
	// maxRequestBytes is the maximum size of a request's body.
	maxRequestBytes = 4 << 10
)

// Serve accepts connections on ln until Close is called or the listener fails.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Close shuts the server down, waits for open connections and stops reporting metrics.
func (s *Server) Close() {
	_ = s.http.Shutdown()
	_ = s.closer.Close()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if c := quota.Of(ctx.Conn()); c != nil {
		defer c.End(int64(len(ctx.Request.Body())), false)
		c.Begin()
		if c.GivesWay() {
			ctx.SetConnectionClose()
		}
	}
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

// authorized reports whether a request has the token. The comparison takes constant time.
func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	if s.token == "" {
		return true
	}
	got := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+s.token)) == 1
}

// reply responds with v as indented JSON.
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

// Memory is a snapshot of the Go runtime's memory statistics; see runtime.MemStats.
type Memory struct {
	// HeapAlloc is the size of the allocated heap objects, Sys the memory obtained from
	// the operating system, both in bytes.
	HeapAlloc uint64 `json:"heapAlloc"`
	Sys       uint64 `json:"sys"`
	// Mallocs is the number of heap objects allocated since the start of the process.
	Mallocs uint64 `json:"mallocs"`
	// Goroutines is the present number of goroutines.
	Goroutines int `json:"goroutines"`
}

// ReadMemory returns the memory statistics of this process. It stops all goroutines
// briefly.
func ReadMemory() Memory {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Memory{HeapAlloc: m.HeapAlloc, Sys: m.Sys, Mallocs: m.Mallocs, Goroutines: runtime.NumGoroutine()}
}
