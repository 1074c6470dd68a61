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
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/upconn"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// Headers of requests to endpoints.
const (
	runHeader      = "X-Run-Id"
	priorityHeader = "X-Priority"
)

// endMarker is the last event of a complete event stream.
const endMarker = "data: [DONE]"

// Endpoint makes the calls to the engine or service on the guard's VM. Its fields
// are functions so that tests can replace them.
type Endpoint struct {
	// Run runs the work once and appends the answer to b as attempt 0. It returns
	// the usage to be billed, and nil for a complete answer. Run of the returned
	// error tells whether the work may have run.
	Run func(ctx context.Context, key wire.RunKey, w *wire.Work, b *stream.Buffer) (wire.Usage, *fault.Error)
	// Probe returns an error if the endpoint does not accept connections. For an
	// engine it also returns the loaded versions, as model@version; nil if the
	// engine does not report them.
	Probe func(ctx context.Context) ([]string, error)
	// LoadVersion has an engine load a version, with the order's fence as fencing
	// token, and returns when the version is loaded.
	LoadVersion func(ctx context.Context, o *wire.Order) error
}

// client implements the functions of Endpoint over HTTP.
type client struct {
	addr netip.AddrPort
	kind string
	http *fasthttp.HostClient
}

// errDial marks errors of connections that were not made, so that nothing was sent.
var errDial = errors.New("guard: could not connect to the endpoint")

// errLongShortAnswer is the error of a short call whose answer is longer than maxShortAnswer.
var errLongShortAnswer = errors.New("guard: the engine's answer to a short call is too long")

const (
	// dialTimeout bounds the opening of a connection to the endpoint, and each short call to it.
	dialTimeout = time.Second
	// maxIdleResumes is the maximum number of consecutive resumes of a cut answer that bring no
	// bytes. A resume that brings some resets the count, as the run is still in progress; the
	// run's deadline bounds their total number.
	maxIdleResumes = 3
	// readBufferBytes is the maximum length of one read of an answer.
	readBufferBytes = 16 << 10
	// maxShortAnswer is the maximum length of the answer to a short call, in bytes: a list of versions.
	maxShortAnswer = 256 << 10
)

// NewEndpoint returns an Endpoint of the given kind, KindEngine or KindService, at
// addr.
func NewEndpoint(kind string, addr netip.AddrPort) *Endpoint {
	c := &client{addr: addr, kind: kind}
	c.http = &fasthttp.HostClient{
		Addr:                addr.String(),
		MaxConns:            4096,
		StreamResponseBody:  true,
		MaxResponseBodySize: maxAnswerBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dialEndpoint(addr)
			if err != nil {
				return nil, err
			}
			return upconn.NewSequential(conn), nil
		},
		// A request on a kept connection that the endpoint has closed meanwhile
		// fails as one that may have run, although it did not start.
		MaxIdleConnDuration: time.Second,
	}
	return &Endpoint{Run: c.run, Probe: c.probe, LoadVersion: c.loadVersion}
}

// dialEndpoint opens a connection. Its errors are marked with errDial.
func dialEndpoint(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	return conn, nil
}

// probe implements Endpoint.Probe. A failed query of the versions is not an error.
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

// engineOrder is the body of an order to an engine.
type engineOrder struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

// versionLoadTimeout bounds the load of one version.
const versionLoadTimeout = time.Minute

// loadVersion implements Endpoint.LoadVersion.
func (c *client) loadVersion(_ context.Context, o *wire.Order) error {
	body, err := json.Marshal(engineOrder{Fence: o.Fence, Action: "load", Model: o.Model + "@" + o.Version})
	if err != nil {
		return err
	}
	_, err = c.request(fasthttp.MethodPost, "/v1/orders", body, time.Now().Add(versionLoadTimeout))
	return err
}

// request makes one short call to the engine and returns the body of the response.
// Any status but 200 is an error.
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
	out, err := io.ReadAll(io.LimitReader(bodyOf(resp), maxShortAnswer+1))
	if len(out) > maxShortAnswer {
		return nil, errLongShortAnswer
	}
	if err == nil && resp.StatusCode() != fasthttp.StatusOK {
		err = errors.Newf("guard: the engine answered status %d", resp.StatusCode())
	}
	return out, err
}

// bodyOf returns a reader of the response body, streamed or not.
func bodyOf(resp *fasthttp.Response) io.Reader {
	if r := resp.BodyStream(); r != nil {
		return r
	}
	return bytes.NewReader(resp.Body())
}

// runID returns the ID of an attempt at the endpoint.
func runID(k wire.RunKey) string { return k.RunID + "." + strconv.Itoa(k.Attempt) }

// run implements Endpoint.Run. It cancels the run at an engine when ctx is done, and
// resumes a cut answer of an engine from the last byte received.
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

// resumable reports whether an answer that ended with err can be resumed: it is an
// engine's, was cut and has begun.
func (c *client) resumable(err *fault.Error, b *stream.Buffer) bool {
	return c.kind == KindEngine && err != nil && err.Kind == fault.NotWhole && b.Len() > 0
}

// prepare sets up the request that starts a run.
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

// prepareResume sets up the request for the answer of a run from a byte offset on.
func (c *client) prepareResume(req *fasthttp.Request, key wire.RunKey, offset int) {
	req.SetRequestURI("http://" + c.addr.String() + "/v1/runs/" + runID(key) + "?offset=" + strconv.Itoa(offset))
}

// call makes one HTTP call of a run and appends the body of the response to b. For
// an engine any status but 200 is an error.
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
	err := appendBody(resp, b)
	// The answers of engines show in themselves whether they are whole.
	if err == nil && c.kind == KindService && resp.Header.ContentLength() == unannouncedLength && !c.outlivesAnswer() {
		return fault.New(fault.NotWhole, fault.Ran, "The endpoint has ended with its answer, whose end it had not announced.")
	}
	return err
}

// unannouncedLength is the length that fasthttp gives a body with neither a length nor chunks.
const unannouncedLength = -2

// aliveHold is how long a connection to the endpoint must stay open to show that its process lives. The kernel closes
// those of a process that ends at once.
const aliveHold = 10 * time.Millisecond

// outlivesAnswer reports whether the endpoint lives after an answer that ended with its connection, as that of an
// endpoint does that is killed.
func (c *client) outlivesAnswer() bool {
	conn, err := dialEndpoint(c.addr.String())
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(aliveHold))
	_, err = conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// callFault returns the fault for a call without a response.
func callFault(err error, deadline time.Time) *fault.Error {
	switch {
	case errors.Is(err, errDial):
		return fault.New(fault.EndpointLost, fault.NotRun, "The endpoint does not accept connections.").WithCause(err)
	case errors.Is(err, fasthttp.ErrTimeout) && !time.Now().Before(deadline):
		return fault.New(fault.DeadlinePassed, fault.MayHaveRun, "The endpoint did not answer before the deadline.")
	default:
		return fault.New(fault.EndpointLost, fault.MayHaveRun, "The connection to the endpoint broke.").WithCause(err)
	}
}

// engineRefusal returns the fault for a status other than 200 of an engine. In the
// engines' protocol 429 and 503 mean that the run was not accepted; Retry-After is
// then the time to retry.
func engineRefusal(status int, resp *fasthttp.Response) *fault.Error {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		at := fault.ParseRetryAfter(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), time.Now())
		return fault.New(fault.Overloaded, fault.NotRun, "The engine accepts no more runs.").WithRetryAt(at)
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound:
		return fault.New(fault.BadRequest, fault.NotRun, "The engine refused the request.")
	default:
		_ = resp.CloseBodyStream()
		return fault.New(fault.EndpointFailed, fault.MayHaveRun, "The engine answered status %d.", status)
	}
}

// appendBody appends the body of a response to b as it arrives.
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
			return fault.New(fault.NotWhole, fault.Ran, "The connection to the endpoint broke during the answer.").WithCause(err)
		}
	}
}

// checkComplete returns a NotWhole fault unless a model's answer is complete: an
// event stream ends with endMarker, any other answer is valid JSON.
func checkComplete(body []byte, streamed bool) *fault.Error {
	if streamed && !strings.HasSuffix(strings.TrimSpace(string(tail(body))), endMarker) {
		return fault.New(fault.NotWhole, fault.Ran, "The answer has no end marker.")
	}
	if !streamed && !json.Valid(body) {
		return fault.New(fault.NotWhole, fault.Ran, "The answer is cut.")
	}
	return nil
}

// tailBytes is the length of the end of an answer that is searched for the end
// marker and the usage.
const tailBytes = 2 << 10

// tail returns the last tailBytes of body.
func tail(body []byte) []byte { return body[max(0, len(body)-tailBytes):] }

// readUsage returns the usage that an engine reports at the end of an answer; zero
// if there is none.
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

// cancel asks the engine to end a run and ignores failures. A service has no such
// call.
func (c *client) cancel(key wire.RunKey) {
	if c.kind != KindEngine {
		return
	}
	_, _ = c.request(fasthttp.MethodPost, "/v1/runs/"+runID(key)+"/cancel", nil, time.Now().Add(dialTimeout))
}
