// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package store speaks to the platform's object API: versioned objects with
// conditional updates and watches. The protocol is written down in
// docs/PLATFORM.md.
package store

import (
	"context"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/fault"
)

// Errors of this package.
const (
	// ErrNotFound says that there is no such object.
	ErrNotFound fault.Const = "store: no such object"
	// ErrConflict says that the object has another version than was named;
	// nothing was written.
	ErrConflict fault.Const = "store: the object has another version"
	// ErrUnchanged says that a watch ended without a change.
	ErrUnchanged fault.Const = "store: no change"
	// ErrTooLarge says that the value is over the platform's limit.
	ErrTooLarge fault.Const = "store: the value is too large"
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown fault.Const = "store: the outcome of the write is not known"
	// ErrUnavailable says that the platform did not answer, or answered an error,
	// and nothing was written.
	ErrUnavailable fault.Const = "store: the platform does not answer"
)

// MaxValueBytes is the greatest size of a value, in bytes.
const MaxValueBytes = 1 << 20

// VersionHeader carries an object's version.
const VersionHeader = "X-Object-Version"

// Object is a stored value with its version.
type Object struct {
	Name string `json:"name"`
	// Version grows at every write of the object.
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Listing is a list of objects as the platform sends it.
type Listing struct {
	Items []Object `json:"items"`
}

// Client reaches an object API. Its fields are seams: tests replace them.
type Client struct {
	// Get returns an object or ErrNotFound or ErrUnavailable.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if it still has version ifVersion; 0 means that
	// it must not exist. It returns the new version, or ErrConflict,
	// ErrTooLarge, ErrUnavailable (nothing written) or ErrOutcomeUnknown.
	Put func(ctx context.Context, kind, name string, ifVersion int64, value []byte) (int64, error)
	// List returns the objects of a kind whose names begin with prefix, in
	// the order of names.
	List func(ctx context.Context, kind, prefix string) ([]Object, error)
	// Watch waits until the object has a version other than since and
	// returns it; ErrUnchanged if the wait ended first, at the deadline of
	// ctx or earlier.
	Watch func(ctx context.Context, kind, name string, since int64) (Object, error)
	// Close ends every waiting call.
	Close func()
}

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// New returns a client of the object API at addr.
func New(addr netip.AddrPort) *Client {
	h := &httpClient{base: "http://" + addr.String(), conns: newConnSet()}
	h.http = &fasthttp.HostClient{
		Addr:                addr.String(),
		Dial:                h.conns.dial,
		MaxConns:            256,
		MaxIdleConnDuration: 30 * time.Second,
		RetryIfErr:          retryReads,
	}
	return &Client{Get: h.get, Put: h.put, List: h.list, Watch: h.watch, Close: h.conns.closeAll}
}

// httpClient is the HTTP form of a Client.
type httpClient struct {
	base  string
	http  *fasthttp.HostClient
	conns *connSet
}

func (h *httpClient) do(ctx context.Context, prepare func(*fasthttp.Request), read func(*fasthttp.Response) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prepare(req)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	if err := h.http.DoDeadline(req, resp, deadline); err != nil {
		if errors.Is(err, ErrUnavailable) {
			return err
		}
		return errors.Mark(errors.Wrap(err, "store"), ErrOutcomeUnknown)
	}
	return read(resp)
}

// retryReads repeats a read once, as a kept connection may have been closed
// by the platform; a write is never repeated here.
func retryReads(req *fasthttp.Request, attempts int, _ error) (resetTimeout, retry bool) {
	return false, req.Header.IsGet() && attempts < 2
}

func objectURL(base, kind, name string) string {
	return base + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (h *httpClient) get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := h.do(ctx, func(req *fasthttp.Request) {
		req.SetRequestURI(objectURL(h.base, kind, name))
	}, func(resp *fasthttp.Response) error {
		return readObject(resp, name, &o)
	})
	return o, readOnly(err)
}

func readObject(resp *fasthttp.Response, name string, o *Object) error {
	if err := statusError(resp.StatusCode()); err != nil {
		return err
	}
	version, err := strconv.ParseInt(string(resp.Header.Peek(VersionHeader)), 10, 64)
	if err != nil {
		return ErrUnavailable
	}
	*o = Object{Name: name, Version: version, Value: append([]byte(nil), resp.Body()...)}
	return nil
}

// readOnly turns an unknown outcome into ErrUnavailable, as reading changes nothing.
func readOnly(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Mark(err, ErrUnavailable)
	}
	return err
}

func (h *httpClient) put(ctx context.Context, kind, name string, ifVersion int64, value []byte) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var version int64
	err := h.do(ctx, func(req *fasthttp.Request) {
		req.SetRequestURI(objectURL(h.base, kind, name))
		req.Header.SetMethod(fasthttp.MethodPut)
		if ifVersion == 0 {
			req.Header.Set(fasthttp.HeaderIfNoneMatch, "*")
		} else {
			req.Header.Set(fasthttp.HeaderIfMatch, strconv.FormatInt(ifVersion, 10))
		}
		req.SetBodyRaw(value)
	}, func(resp *fasthttp.Response) error {
		if err := statusError(resp.StatusCode()); err != nil {
			return err
		}
		var err error
		version, err = strconv.ParseInt(string(resp.Header.Peek(VersionHeader)), 10, 64)
		if err != nil {
			return ErrOutcomeUnknown
		}
		return nil
	})
	return version, err
}

func (h *httpClient) list(ctx context.Context, kind, prefix string) ([]Object, error) {
	var l Listing
	err := h.do(ctx, func(req *fasthttp.Request) {
		req.SetRequestURI(h.base + "/v1/objects/" + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix))
	}, func(resp *fasthttp.Response) error {
		return readJSON(resp, &l)
	})
	return l.Items, readOnly(err)
}

func (h *httpClient) watch(ctx context.Context, kind, name string, since int64) (Object, error) {
	var o Object
	err := h.do(ctx, func(req *fasthttp.Request) {
		req.SetRequestURI(h.base + "/v1/watch/" + url.PathEscape(kind) + "/" + url.PathEscape(name))
		args := req.URI().QueryArgs()
		args.Set("since", strconv.FormatInt(since, 10))
		if deadline, ok := ctx.Deadline(); ok {
			args.Set("until", deadline.Add(-watchMargin).Format(time.RFC3339Nano))
		}
	}, func(resp *fasthttp.Response) error {
		return readObject(resp, name, &o)
	})
	return o, readOnly(err)
}

// watchMargin is how much earlier than the caller's deadline the platform is
// asked to end a watch.
const watchMargin = 200 * time.Millisecond

func statusError(status int) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		return nil
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusNotModified:
		return ErrUnchanged
	case fasthttp.StatusPreconditionFailed, fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return ErrOutcomeUnknown
	}
}
