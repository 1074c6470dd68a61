// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// Headers towards engines and services.
const (
	runHeader      = "X-Run-Id"
	priorityHeader = "X-Priority"
)

// endMarker ends a whole event stream.
const endMarker = "data: [DONE]"

// Endpoint reaches the engine or service beside the guard. Its fields are
// seams: tests replace them.
type Endpoint struct {
	// Run does the work once and appends the answer to b under attempt 0. It
	// returns what is billed, and nil for a whole answer.
	Run func(ctx context.Context, key wire.RunKey, w *wire.Work, b *stream.Buffer) (wire.Usage, *fault.Error)
	// Probe returns nil if the endpoint takes connections, and the versions
	// that an engine says it has, as model@version; nil if it does not say.
	Probe func(ctx context.Context) ([]string, error)
	// LoadVersion has an engine load a version, under a fence that grows.
	LoadVersion func(ctx context.Context, o *wire.Order) error
}

// client is the HTTP form of an Endpoint.
type client struct {
	addr netip.AddrPort
	kind string
	http *fasthttp.HostClient
}

// errDial marks that no connection was made, so that nothing was sent.
var errDial = errors.New("guard: the endpoint takes no connection")

const (
	// dialTimeout bounds the opening of a connection to the endpoint.
	dialTimeout = time.Second
	// maxIdleResumes is how many resumptions of a cut answer in a row may bring nothing. One that
	// brings it forward starts the count anew: the run goes on, and its deadline bounds it.
	maxIdleResumes = 3
	// readBufferBytes is the size of one read of an answer.
	readBufferBytes = 16 << 10
)

// NewEndpoint returns an Endpoint of the given kind at addr.
func NewEndpoint(kind string, addr netip.AddrPort) *Endpoint {
	c := &client{addr: addr, kind: kind}
	c.http = &fasthttp.HostClient{
		Addr:                addr.String(),
		MaxConns:            4096,
		StreamResponseBody:  true,
		MaxResponseBodySize: maxAnswerBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                dialEndpoint,
		// A kept connection that the endpoint has closed would make a run
		// that never started look like one that may have.
		MaxIdleConnDuration: time.Second,
	}
	return &Endpoint{Run: c.run, Probe: c.probe, LoadVersion: c.loadVersion}
}

func dialEndpoint(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	return conn, nil
}

func (c *client) probe(ctx context.Context) ([]string, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.addr.String())
	if err != nil {
		return nil, err
	}
	if err := conn.Close(); err != nil || c.kind != KindEngine {
		return nil, err
	}
	var report struct {
		Versions []string `json:"versions"`
	}
	if body, err := c.request(fasthttp.MethodGet, "/load", nil, time.Now().Add(dialTimeout)); err == nil {
		_ = json.Unmarshal(body, &report)
	}
	return report.Versions, nil
}

// engineOrder is an order as engines take it.
type engineOrder struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

// versionLoadTimeout bounds one load.
const versionLoadTimeout = time.Minute

func (c *client) loadVersion(_ context.Context, o *wire.Order) error {
	body, err := json.Marshal(engineOrder{Fence: o.Fence, Action: "load", Model: o.Model + "@" + o.Version})
	if err != nil {
		return err
	}
	_, err = c.request(fasthttp.MethodPost, "/v1/orders", body, time.Now().Add(versionLoadTimeout))
	return err
}

// request makes one small call to the engine and returns the answer's body.
func (c *client) request(method, path string, body []byte, deadline time.Time) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr.String() + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	out, err := io.ReadAll(bodyOf(resp))
	if err == nil && resp.StatusCode() != fasthttp.StatusOK {
		err = errors.Newf("guard: the engine answered status %d", resp.StatusCode())
	}
	return out, err
}

func bodyOf(resp *fasthttp.Response) io.Reader {
	if r := resp.BodyStream(); r != nil {
		return r
	}
	return bytes.NewReader(resp.Body())
}

// runID is how the endpoint knows an attempt.
func runID(k wire.RunKey) string { return k.RunID + "." + strconv.Itoa(k.Attempt) }

func (c *client) run(ctx context.Context, key wire.RunKey, w *wire.Work, b *stream.Buffer) (wire.Usage, *fault.Error) {
	stop := context.AfterFunc(ctx, func() { c.cancel(key) })
	defer stop()
	err := c.call(w, b, func(req *fasthttp.Request) { c.prepare(req, key, w) })
	for idle := 0; idle < maxIdleResumes && c.resumable(err, b) && ctx.Err() == nil; {
		had := b.Len()
		err = c.call(w, b, func(req *fasthttp.Request) { c.prepareResume(req, key, had) })
		if b.Len() > had {
			idle = 0
		} else {
			idle++
		}
	}
	body := b.Bytes()
	usage := readUsage(body)
	if err == nil && w.Model != "" {
		err = checkComplete(body, w.Stream)
	}
	return usage, err
}

func (c *client) resumable(err *fault.Error, b *stream.Buffer) bool {
	return c.kind == KindEngine && err != nil && err.Kind == fault.NotWhole && b.Len() > 0
}

func (c *client) prepare(req *fasthttp.Request, key wire.RunKey, w *wire.Work) {
	req.SetRequestURI("http://" + c.addr.String() + w.Path)
	req.Header.SetMethod(w.Method)
	req.Header.Set(runHeader, runID(key))
	req.Header.Set(priorityHeader, w.Priority)
	if w.ContentType != "" {
		req.Header.SetContentType(w.ContentType)
	}
	req.SetBodyRaw(w.Body)
}

func (c *client) prepareResume(req *fasthttp.Request, key wire.RunKey, offset int) {
	req.SetRequestURI("http://" + c.addr.String() + "/v1/runs/" + runID(key) + "?offset=" + strconv.Itoa(offset))
}

// call makes one HTTP call and appends its body to b.
func (c *client) call(w *wire.Work, b *stream.Buffer, prepare func(*fasthttp.Request)) *fault.Error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prepare(req)
	if err := c.http.DoDeadline(req, resp, w.Deadline); err != nil {
		return callFault(err, w.Deadline)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	status := resp.StatusCode()
	if c.kind == KindEngine && status != fasthttp.StatusOK {
		return engineRefusal(status, resp)
	}
	b.SetHead(0, stream.Head{Status: status, ContentType: string(resp.Header.ContentType()), Model: w.Model, Version: w.Version})
	return appendBody(resp, b)
}

func callFault(err error, deadline time.Time) *fault.Error {
	switch {
	case errors.Is(err, errDial):
		return fault.New(fault.EndpointLost, fault.NotRun, "The endpoint takes no connection.")
	case errors.Is(err, fasthttp.ErrTimeout) && !time.Now().Before(deadline):
		return fault.New(fault.DeadlinePassed, fault.MayHaveRun, "The endpoint did not answer before the deadline.")
	default:
		return fault.New(fault.EndpointLost, fault.MayHaveRun, "The endpoint's connection broke.")
	}
}

// engineRefusal reads a status other than 200: by the engines' protocol 429
// and 503 say that the run was not taken.
func engineRefusal(status int, resp *fasthttp.Response) *fault.Error {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		at := fault.ParseRetryAfter(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), time.Now())
		return fault.New(fault.Overloaded, fault.NotRun, "The engine takes no more work.").WithRetryAt(at)
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound:
		return fault.New(fault.BadRequest, fault.NotRun, "The engine refused the request.")
	default:
		_ = resp.CloseBodyStream()
		return fault.New(fault.EndpointFailed, fault.MayHaveRun, "The engine answered status %d.", status)
	}
}

func appendBody(resp *fasthttp.Response, b *stream.Buffer) *fault.Error {
	r := bodyOf(resp)
	p := make([]byte, readBufferBytes)
	for {
		n, err := r.Read(p)
		if n > 0 {
			if b.Append(0, b.Len(), p[:n]) != nil {
				return fault.New(fault.TooLarge, fault.Ran, "The answer is too large.")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.New(fault.NotWhole, fault.Ran, "The endpoint broke off its answer.")
		}
	}
}

// checkComplete looks for the end marker of a model's answer.
func checkComplete(body []byte, streamed bool) *fault.Error {
	if streamed && !strings.HasSuffix(strings.TrimSpace(string(tail(body))), endMarker) {
		return fault.New(fault.NotWhole, fault.Ran, "The answer has no end marker.")
	}
	if !streamed && !json.Valid(body) {
		return fault.New(fault.NotWhole, fault.Ran, "The answer is cut.")
	}
	return nil
}

// tailBytes is how much of an answer's end is looked at.
const tailBytes = 2 << 10

func tail(body []byte) []byte { return body[max(0, len(body)-tailBytes):] }

// readUsage finds the usage that an engine reports at the end of an answer.
func readUsage(body []byte) wire.Usage {
	var found struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	}
	end := tail(body)
	i := bytes.LastIndex(end, []byte(`"usage":`))
	if i < 0 {
		return wire.Usage{}
	}
	_ = json.NewDecoder(bytes.NewReader(end[i+len(`"usage":`):])).Decode(&found)
	return wire.Usage{PromptTokens: found.Prompt, CompletionTokens: found.Completion}
}

// cancel asks the engine to end a run; a service has no such call.
func (c *client) cancel(key wire.RunKey) {
	if c.kind != KindEngine {
		return
	}
	_, _ = c.request(fasthttp.MethodPost, "/v1/runs/"+runID(key)+"/cancel", nil, time.Now().Add(dialTimeout))
}
