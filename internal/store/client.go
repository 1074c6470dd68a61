// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package store is a client of the platform's object API, which holds versioned objects with
// conditional updates and watches, and of the platform's list of VMs. docs/PLATFORM.md specifies the
// protocol.
//
// A read without a valid answer returns an error marked as ErrUnavailable. A write without one
// returns ErrOutcomeUnknown, as it may have taken effect, and ErrUnavailable only if nothing was
// written.
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
	// ErrNotFound means that there is no such object.
	ErrNotFound fault.Const = "store: no such object"
	// ErrConflict means that the object does not have the version that the write requires. Nothing
	// was written.
	ErrConflict fault.Const = "store: the object has another version"
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged fault.Const = "store: no change"
	// ErrTooLarge means that the value exceeds the platform's limit. Nothing was written.
	ErrTooLarge fault.Const = "store: the value is too large"
	// ErrOutcomeUnknown means that a write may have taken effect or not.
	ErrOutcomeUnknown fault.Const = "store: the outcome of the write is not known"
	// ErrUnavailable means that the platform could not be reached, did not answer a read, or answered
	// with an error. Nothing was written.
	ErrUnavailable fault.Const = "store: the platform does not answer"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// VersionHeader is the HTTP header that holds the version of an object in responses.
const VersionHeader = "X-Object-Version"

// Object is a stored value with its version.
type Object struct {
	Name string `json:"name"`
	// Version increases with every write of the object.
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Listing is a list of objects as the platform encodes it in JSON.
type Listing struct {
	Items []Object `json:"items"`
}

// Client is a client of an object API. It must be created with New and is safe for concurrent use.
// Tests replace its functions.
type Client struct {
	// Get returns an object, or ErrNotFound or ErrUnavailable.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if its version is ifVersion; 0 means that the object must not exist. It
	// returns the new version, or ErrConflict, ErrTooLarge, ErrUnavailable (nothing was written) or
	// ErrOutcomeUnknown.
	Put func(ctx context.Context, kind, name string, ifVersion int64, value []byte) (int64, error)
	// List returns the objects of a kind whose names begin with prefix, in the order of their names,
	// or ErrUnavailable.
	List func(ctx context.Context, kind, prefix string) ([]Object, error)
	// Watch waits until the object has a version other than since and returns the object. It returns
	// ErrUnchanged if the platform ends the wait first, at the deadline of ctx or earlier, and
	// otherwise the errors of Get.
	Watch func(ctx context.Context, kind, name string, since int64) (Object, error)
	// Close closes all connections, which ends the waiting calls with an error. Later calls fail.
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

// httpClient implements the functions of Client and VMs over HTTP.
type httpClient struct {
	// base is the scheme and authority of URLs, without a slash at the end.
	base  string
	http  *fasthttp.HostClient
	conns *connSet
}

// do sends the request that prepare sets up and passes the response to read. Without a response, the
// error is marked as ErrUnavailable if ctx was done before or no connection could be opened, and as
// ErrOutcomeUnknown otherwise.
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

// retryReads allows one retry of a read, as the platform may have closed an idle connection. A write
// is never retried, as it may have taken effect.
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

// readObject decodes the response to a request for one object. It returns ErrUnavailable if the
// version is missing or malformed.
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

// readOnly also marks an error that is ErrOutcomeUnknown as ErrUnavailable, as a read has no effect.
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

// watchMargin is how long before the deadline of the context the platform is requested to end a
// watch.
const watchMargin = 200 * time.Millisecond

// statusError returns the error for the status of a response; nil for success.
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
