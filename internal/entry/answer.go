// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"bufio"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// errorBody is the body of every failure.
type errorBody struct {
	Error *fault.Error `json:"error"`
}

// refuse answers a failure before any byte of an answer.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, err *fault.Error) {
	body, _ := json.Marshal(errorBody{err})
	ctx.SetStatusCode(err.Kind.Answer().Status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	if !err.RetryAt.IsZero() {
		wait := math.Ceil(time.Until(err.RetryAt).Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(1, int(wait))))
	}
}

// answer sends a request's answer, whole or in pieces.
func (e *Entry) answer(ctx *fasthttp.RequestCtx, r *request) {
	ctx.Response.Header.Set(headerRequest, r.id)
	head, p, end, err := r.buf.Next(e.kill, 0)
	if err != nil {
		e.refuse(ctx, fault.New(fault.Stopping, fault.MayHaveRun, "The entry was ended."))
		return
	}
	if end != nil && end.Err != nil {
		e.refuse(ctx, end.Err)
		return
	}
	if r.call.Stream {
		e.setHead(ctx, r, head)
		e.answerStream(ctx, r, p)
		return
	}
	head, body, end, err := r.buf.Whole(e.kill)
	if err != nil {
		e.refuse(ctx, fault.New(fault.Stopping, fault.MayHaveRun, "The entry was ended."))
		return
	}
	if end.Err != nil {
		e.refuse(ctx, end.Err)
		return
	}
	e.setHead(ctx, r, head)
	ctx.SetBody(body)
}

func (e *Entry) setHead(ctx *fasthttp.RequestCtx, r *request, head stream.Head) {
	ctx.SetStatusCode(max(head.Status, fasthttp.StatusOK))
	ctx.SetContentType(head.ContentType)
	h := &ctx.Response.Header
	if head.Model != "" {
		h.Set(headerModel, head.Model)
		h.Set(headerVersion, head.Version)
	}
	if token := e.sessionToken(r, head.Model, head.Version); token != "" {
		h.Set(headerSession, token)
	}
}

// answerStream sends the answer as it grows. The connection is closed where
// the answer ends before it is whole, so that no caller takes it for whole.
func (e *Entry) answerStream(ctx *fasthttp.RequestCtx, r *request, first []byte) {
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		offset := 0
		p := first
		for {
			if len(p) > 0 && !writeAll(w, p) {
				e.callerGone(r)
				return
			}
			offset += len(p)
			var end *stream.End
			var err error
			_, p, end, err = r.buf.Next(e.kill, offset)
			if err != nil {
				_ = conn.Close()
				return
			}
			if end != nil {
				finishStream(w, conn, p, end)
				return
			}
		}
	})
}

func writeAll(w *bufio.Writer, p []byte) bool {
	if _, err := w.Write(p); err != nil {
		return false
	}
	return w.Flush() == nil
}

// finishStream sends the last piece, and what went wrong, if anything did.
func finishStream(w *bufio.Writer, conn net.Conn, p []byte, end *stream.End) {
	if !writeAll(w, p) || end.Err == nil {
		return
	}
	body, _ := json.Marshal(errorBody{end.Err})
	_ = writeAll(w, append(append([]byte("data: "), body...), "\n\n"...))
	_ = conn.Close()
}

// callerGone gives up a request whose caller no longer listens, unless a
// repeat by its key may still ask for the answer.
func (e *Entry) callerGone(r *request) {
	e.counts.callersGone.Inc(1)
	if r.key == "" {
		r.cancel()
	}
}
