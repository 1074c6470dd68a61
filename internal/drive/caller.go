// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package drive is the load-generating client of tests, the demo and measurements. A Caller sends
// single requests and checks every answer, a Load sends requests at a rate and measures latencies,
// and Demo sends the requests of the demo.
//
// Requests go to entries, or directly to engines. Chat answers are compared with those that a
// fakes.Engine must give.
package drive

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/upconn"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Caller sends requests to one address with one API key. It is safe for concurrent use.
type Caller struct {
	// Addr is the address of an entry, or of an engine for direct calls.
	Addr netip.AddrPort
	// Key is the API key; empty to send none.
	Key string
	// scheme is the prefix of URLs, "http://" or "https://".
	scheme string
	http   *fasthttp.Client
}

// NewCaller returns a caller of addr over plain HTTP that never retries a request.
func NewCaller(addr netip.AddrPort, key string) *Caller {
	return &Caller{Addr: addr, Key: key, scheme: "http://", http: &fasthttp.Client{
		Dial:               upconn.DialSequential,
		StreamResponseBody: true,
		MaxConnsPerHost:    8192,
		RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// UseTLS makes the caller use TLS without verifying the server's certificate. It is called before
// the first request.
func (c *Caller) UseTLS() {
	c.scheme = "https://"
	c.http.TLSConfig = &tls.Config{InsecureSkipVerify: true}
	c.http.Dial = nil // the bytes on the connection are those of TLS
}

// readyInterval is the interval between readiness probes.
const readyInterval = 50 * time.Millisecond

// WaitReady probes the entry until it is ready. It returns an error if the entry is not ready by
// the deadline.
func (c *Caller) WaitReady(deadline time.Time) error {
	for time.Now().Before(deadline) {
		a, err := c.Do(Request{Path: "/readyz", Deadline: time.Now().Add(time.Second)})
		if err == nil && a.Status == fasthttp.StatusOK {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return errors.Newf("drive: entry %s was not ready by the deadline", c.Addr)
}

// Request is a POST request to send.
type Request struct {
	// Path is the path of the URL; empty for a chat request.
	Path string
	// Chat is the body of a chat request, Body that of any other.
	Chat fakes.ChatRequest
	Body string
	// Header holds additional headers by name.
	Header map[string]string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Answer is the received answer to a request.
type Answer struct {
	// Status is the HTTP status; 0 if no header was received.
	Status int
	// RequestID, Model, Version, Session and RetryAfter are the values of the response headers
	// Traildrift-Request, Traildrift-Model, Traildrift-Version, Traildrift-Session and
	// Retry-After; empty if missing.
	RequestID, Model, Version, Session, RetryAfter string
	// SessionNotKept says that the session's name could not be stored (header
	// Traildrift-Session-Kept: false).
	SessionNotKept bool
	// Body is the part of the body that was received.
	Body []byte
	// Err is the error object in the body; nil if there is none.
	Err *fault.Error
	// Sent is when the request was sent, First when the first byte of the body was read and
	// Done when its end was read; zero for what did not happen.
	Sent, First, Done time.Time
	// InvalidReason says why the answer to a chat request is wrong; empty for a correct answer,
	// for one with Err set and for one to another request.
	InvalidReason string
}

// ErrNoAnswer marks the error of a request without a complete answer: the connection could not be
// opened or broke, or the deadline passed.
var ErrNoAnswer = errors.New("drive: the request got no complete answer")

// Do sends a request and checks the answer. An error is marked as ErrNoAnswer; the answer then
// holds what was received before it.
func (c *Caller) Do(a Request) (Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, &a)
	out := Answer{Sent: time.Now()}
	if err := c.http.DoDeadline(req, resp, a.Deadline); err != nil {
		return out, errors.Mark(err, ErrNoAnswer)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	out.readHeader(resp)
	if err := out.readBody(resp); err != nil {
		return out, errors.Mark(err, ErrNoAnswer)
	}
	out.check(&a)
	return out, nil
}

func (c *Caller) prepare(req *fasthttp.Request, a *Request) {
	path := a.Path
	body := []byte(a.Body)
	if path == "" {
		path = "/v1/chat/completions"
		body, _ = json.Marshal(a.Chat)
	}
	req.SetRequestURI(c.scheme + c.Addr.String() + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	if c.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Key)
	}
	for k, v := range a.Header {
		req.Header.Set(k, v)
	}
	req.SetBodyRaw(body)
}

func (out *Answer) readHeader(resp *fasthttp.Response) {
	h := &resp.Header
	out.Status = resp.StatusCode()
	out.RequestID = string(h.Peek("Traildrift-Request"))
	out.Model = string(h.Peek("Traildrift-Model"))
	out.Version = string(h.Peek("Traildrift-Version"))
	out.Session = string(h.Peek("Traildrift-Session"))
	out.SessionNotKept = string(h.Peek("Traildrift-Session-Kept")) == "false"
	out.RetryAfter = string(h.Peek(fasthttp.HeaderRetryAfter))
}

// readBytes is the size of the buffer for reading bodies.
const readBytes = 32 << 10

// readBody reads the body to its end and sets First and Done. If the connection breaks, it sets Err
// from the part that was received.
func (out *Answer) readBody(resp *fasthttp.Response) error {
	r := resp.BodyStream()
	if r == nil {
		r = bytes.NewReader(resp.Body())
	}
	p := make([]byte, readBytes)
	for {
		n, err := r.Read(p)
		if n > 0 && out.First.IsZero() {
			out.First = time.Now()
		}
		out.Body = append(out.Body, p[:n]...)
		if errors.Is(err, io.EOF) {
			out.Done = time.Now()
			return nil
		}
		if err != nil {
			out.Err = findError(out.Body)
			return err
		}
	}
}

// check sets Err from the body, and InvalidReason if the answer to a chat request differs from that
// of the fake engine.
func (out *Answer) check(a *Request) {
	out.Err = findError(out.Body)
	if out.Err != nil || a.Path != "" {
		return
	}
	if out.Status != fasthttp.StatusOK {
		out.InvalidReason = "a status without an error"
		return
	}
	want := strings.Join(fakes.Words(a.Chat), "")
	got, whole := ChatText(out.Body, a.Chat.Stream)
	switch {
	case !whole:
		out.InvalidReason = "no end marker"
	case got != want:
		out.InvalidReason = "another text than was asked for"
	}
}

// findError returns the last error object in a body, which ends a failed stream; nil if there is
// none.
func findError(body []byte) *fault.Error {
	i := bytes.LastIndex(body, []byte(`{"error":{`))
	if i < 0 {
		return nil
	}
	var e fault.Body
	if json.NewDecoder(bytes.NewReader(body[i:])).Decode(&e) != nil {
		return nil
	}
	return e.Error
}

// ChatText returns the text in the body of a chat answer, streamed or not, and whether the answer is
// complete. A stream is complete if it has its end marker.
func ChatText(body []byte, streamed bool) (text string, whole bool) {
	if !streamed {
		var a struct {
			Choices []struct {
				Message fakes.Message `json:"message"`
			} `json:"choices"`
		}
		if json.Unmarshal(body, &a) != nil || len(a.Choices) == 0 {
			return "", false
		}
		return a.Choices[0].Message.Content, true
	}
	var b strings.Builder
	for line := range strings.SplitSeq(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var chunk struct {
			Choices []struct {
				Delta fakes.Message `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}
