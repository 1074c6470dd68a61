// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/quota"
	"github.com/traildrift/traildrift/pkg/fault"
)

// newHTTP returns the HTTP server for callers.
func (e *Entry) newHTTP() *fasthttp.Server {
	readTimeout := e.settings.ReadTimeout.After(time.Time{}).Sub(time.Time{})
	return &fasthttp.Server{
		Handler:                      e.handle,
		ErrorHandler:                 e.handleReadError,
		Name:                         "traildrift",
		Logger:                       logs.LibraryLogger{Log: e.Log, Prefix: "callers"},
		MaxRequestBodySize:           e.settings.MaxBody,
		ReadBufferSize:               e.settings.MaxHeader,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		StreamRequestBody:            true,
		NoDefaultServerHeader:        true,
		ConnState:                    quota.OnFastState,
	}
}

// idleTimeout bounds how long a caller's connection may be idle.
const idleTimeout = 60 * time.Second

// handleReadError answers a request that could not be read: too large, malformed or not
// received within ReadTimeout. It matches the text of fasthttp's errors.
func (e *Entry) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	setLinger(ctx.Conn())
	switch {
	case strings.Contains(err.Error(), "body size exceeds"):
		e.refuse(ctx, fault.New(fault.TooLarge, fault.NotRun, "The body has more than %d bytes.", e.settings.MaxBody))
	case strings.Contains(err.Error(), "small read buffer"):
		e.refuse(ctx, fault.New(fault.TooLarge, fault.NotRun, "The headers have more than %d bytes.", e.settings.MaxHeader))
	default:
		e.refuse(ctx, fault.New(fault.BadRequest, fault.NotRun, "The request could not be read."))
	}
}

// handle serves a call, which holds memory from its head to the end of its answer.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	c := quota.Of(ctx.Conn())
	c.Begin()
	e.dispatchPath(ctx)
	if c.GivesWay() {
		ctx.SetConnectionClose()
	}
	if hasUnreadBody(ctx) {
		ctx.SetConnectionClose()
		setLinger(ctx.Conn())
	}
	end := func() { c.End(int64(max(ctx.Request.Header.ContentLength(), -1)), ctx.Response.ConnectionClose()) }
	if stream, ok := ctx.Response.BodyStream().(*answerReader); ok {
		stream.onClose = end
		return
	}
	end()
}

// prefetchedBytes is how much of a body the HTTP server reads before it calls the handler.
const prefetchedBytes = 8 << 10

// hasUnreadBody reports whether the rest of a body may still arrive.
func hasUnreadBody(ctx *fasthttp.RequestCtx) bool {
	if n := ctx.Request.Header.ContentLength(); n >= 0 && n <= prefetchedBytes {
		return false
	}
	read, ok := ctx.UserValue(bodyReadKey{}).(bool)
	return ctx.RequestBodyStream() != nil && !(ok && read)
}

// bodyReadKey is the user value that says that the body was read to its end.
type bodyReadKey struct{}

// dispatchPath dispatches a call by its path.
func (e *Entry) dispatchPath(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("alive\n")
	case path == "/readyz":
		e.serveReady(ctx)
	case path == "/v1/models":
		e.serveModels(ctx)
	case path == chatPath:
		e.serveChat(ctx)
	case path == "/v1/tickets":
		e.serveTicket(ctx)
	case strings.HasPrefix(path, servicePrefix):
		e.serveService(ctx)
	default:
		e.refuse(ctx, fault.New(fault.NotFound, fault.NotRun, "There is no %s.", path))
	}
}

// serveReady reports to the load balancer whether the entry accepts new requests.
func (e *Entry) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case e.stopping.Load():
		ctx.Error("stopping", fasthttp.StatusServiceUnavailable)
	case e.Holder.Revision() == 0:
		ctx.Error("no settings yet", fasthttp.StatusServiceUnavailable)
	case !e.peers.ready():
		ctx.Error("no links yet", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

func (e *Entry) serveChat(ctx *fasthttp.RequestCtx) {
	workspace, err := e.authorize(ctx)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	if !ctx.IsPost() {
		e.refuse(ctx, fault.New(fault.BadRequest, fault.NotRun, "Chat requests are posted."))
		return
	}
	call, key, err := e.parseHeaders(ctx, workspace)
	if err == nil {
		call.Body, err = e.readBody(ctx)
	}
	if err == nil {
		err = e.parseChat(&call)
	}
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	e.serve(ctx, call, key)
}

func (e *Entry) serveService(ctx *fasthttp.RequestCtx) {
	workspace, err := e.authorize(ctx)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	call, key, err := e.parseHeaders(ctx, workspace)
	if err == nil {
		err = e.parseService(ctx, &call)
	}
	if err == nil {
		call.Body, err = e.readBody(ctx)
	}
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	e.serve(ctx, call, key)
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and chat workloads that the workspace may use.
func (e *Entry) serveModels(ctx *fasthttp.RequestCtx) {
	workspace, err := e.authorize(ctx)
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, id := range e.Holder.Current().ModelNames(workspace) {
		list.Data = append(list.Data, model{ID: id, Object: "model", OwnedBy: workspace})
	}
	writeJSON(ctx, list)
}
