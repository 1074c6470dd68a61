// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"encoding/json"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// refuse sends an error in place of an answer. It sets Retry-After, in seconds, if the
// error has a time for a retry.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, err *fault.Error) {
	body, _ := json.Marshal(fault.Body{Error: err})
	ctx.SetStatusCode(err.Kind.Answer().Status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	if !err.RetryAt.IsZero() {
		wait := math.Ceil(time.Until(err.RetryAt).Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(1, int(wait))))
	}
}

// answer sends the answer of a request, in one piece or streamed. It calls release once the
// caller has been answered.
func (e *Entry) answer(ctx *fasthttp.RequestCtx, r *request, release func()) {
	if !e.answerWhole(ctx, r) {
		e.answerStream(ctx, r, release)
		return
	}
	release()
}

// answerWhole sends an answer that is not streamed, or the error of a streamed one that
// failed before its first byte. It returns false for an answer to stream, with its head
// set.
func (e *Entry) answerWhole(ctx *fasthttp.RequestCtx, r *request) bool {
	ctx.Response.Header.Set(headerRequest, r.id)
	head, _, end, err := r.buf.Next(e.kill, 0)
	if err == nil && r.call.Stream && (end == nil || end.Err == nil) {
		e.setHead(ctx, r, head)
		return false
	}
	var body []byte
	if err == nil && end == nil {
		head, body, end, err = r.buf.ReadAll(e.kill)
	} else {
		body = r.buf.Bytes()
	}
	switch {
	case err != nil:
		e.refuse(ctx, fault.New(fault.Stopping, fault.MayHaveRun, "The entry was ended."))
	case end.Err != nil:
		e.refuse(ctx, end.Err)
	default:
		e.setHead(ctx, r, head)
		ctx.SetBody(body)
	}
	return true
}

// setHead sets the status and the headers of a successful answer.
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
	if r.nameNotStored {
		h.Set(headerSessionKept, "false")
	}
}

// answerStream sends the answer while it arrives.
func (e *Entry) answerStream(ctx *fasthttp.RequestCtx, r *request, release func()) {
	ctx.SetBodyStream(&answerReader{e: e, r: r, release: release}, -1)
}

// answerReader is the body of a streamed answer. If the answer ends incomplete, it sends a
// last event with the error and then fails, which aborts the connection, so that no caller
// takes the answer for complete.
type answerReader struct {
	e *Entry
	r *request
	// offset is the number of bytes of the answer that were read.
	offset int
	// errorEvent is the unread rest of the event with the error.
	errorEvent []byte
	// end is set once the whole answer was read.
	end *stream.End
	// release is called once the caller has been answered or has disconnected.
	release func()
	// onClose is called after release; nil for no call.
	onClose func()
}

// Read waits for more of the answer. It returns the error of an incomplete answer after its
// event.
func (a *answerReader) Read(p []byte) (int, error) {
	if a.end != nil {
		return a.readEnd(p)
	}
	_, data, end, err := a.r.buf.Next(a.e.kill, a.offset)
	if err != nil {
		return 0, err
	}
	n := copy(p, data)
	a.offset += n
	if end == nil || n < len(data) {
		return n, nil
	}
	a.end = end
	if end.Err != nil {
		body, _ := json.Marshal(fault.Body{Error: end.Err})
		a.errorEvent = append(append([]byte("data: "), body...), "\n\n"...)
	}
	if n > 0 {
		return n, nil
	}
	return a.readEnd(p)
}

// readEnd reads what follows the bytes of the answer: the error event, then the error or
// io.EOF.
func (a *answerReader) readEnd(p []byte) (int, error) {
	if len(a.errorEvent) > 0 {
		n := copy(p, a.errorEvent)
		a.errorEvent = a.errorEvent[n:]
		return n, nil
	}
	if a.end.Err != nil {
		return 0, a.end.Err
	}
	return 0, io.EOF
}

// Close is called once the caller was sent everything or has disconnected.
func (a *answerReader) Close() error {
	if a.end == nil {
		a.e.callerGone(a.r)
	}
	a.release()
	if a.onClose != nil {
		a.onClose()
	}
	return nil
}

// callerGone cancels a request whose caller has disconnected. A request with a key goes on,
// as a repeat may ask for its answer.
func (e *Entry) callerGone(r *request) {
	e.counts.callersGone.Inc(1)
	if r.key == "" {
		r.cancel()
	}
}
