// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package drive is the caller's side of tests, the demo and measurements: it
// sends requests, checks every answer against what was asked, and measures.
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
	"github.com/traildrift/traildrift/pkg/fault"
)

// Caller sends requests with one API key.
type Caller struct {
	// Addr is an entry, or an engine for a direct call.
	Addr netip.AddrPort
	// Key is the API key.
	Key    string
	scheme string
	http   *fasthttp.Client
}

// NewCaller returns a caller of addr.
func NewCaller(addr netip.AddrPort, key string) *Caller {
	return &Caller{Addr: addr, Key: key, scheme: "http://", http: &fasthttp.Client{
		StreamResponseBody: true,
		MaxConnsPerHost:    8192,
		RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// UseTLS makes the caller use TLS and take any certificate.
func (c *Caller) UseTLS() {
	c.scheme = "https://"
	c.http.TLSConfig = &tls.Config{InsecureSkipVerify: true}
}

// readyInterval is how often readiness is asked for.
const readyInterval = 50 * time.Millisecond

// WaitReady waits until the entry is ready.
func (c *Caller) WaitReady(deadline time.Time) error {
	for time.Now().Before(deadline) {
		a, err := c.Do(Request{Path: "/readyz", Deadline: time.Now().Add(time.Second)})
		if err == nil && a.Status == fasthttp.StatusOK {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return errors.Newf("%s is not ready", c.Addr)
}

// Request is one request.
type Request struct {
	// Path is empty for a chat request.
	Path string
	// Chat is the body of a chat request, Body that of another.
	Chat   fakes.ChatRequest
	Body   string
	Header map[string]string
	// Deadline bounds the caller's own wait.
	Deadline time.Time
}

// Answer is what came back.
type Answer struct {
	Status                                         int
	RequestID, Model, Version, Session, RetryAfter string
	// SessionNotKept says that the session's name could not be kept.
	SessionNotKept bool
	Body           []byte
	// Err is the failure that the answer names, if it does.
	Err *fault.Error
	// Sent, First and Done are when the request was sent, the first byte of
	// the body was read and the last one.
	Sent, First, Done time.Time
	// InvalidReason says why the answer is not a right one; empty for a right one.
	InvalidReason string
}

// ErrNoAnswer says that the connection broke before an answer was whole.
var ErrNoAnswer = errors.New("drive: no whole answer")

// Do sends a request and checks the answer. The error is ErrNoAnswer.
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

// readBytes is the size of one read of an answer.
const readBytes = 32 << 10

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

// check compares a chat answer with what the stand-in engine must answer.
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

// ChatText returns the text of a chat answer and whether it is whole.
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
