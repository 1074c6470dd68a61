// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
)

// The error response to a caller must not hold the text of an internal error. Guards against
// addresses of endpoints that callers get with the failure of a connection.
func TestCallerGetsNoInternalError(t *testing.T) {
	internal := errors.New("read tcp 10.0.0.1:8000")
	for _, c := range []struct {
		name string
		send func(context.Context, *Attempt) (*Reply, error)
	}{
		{"no answer", func(context.Context, *Attempt) (*Reply, error) { return nil, internal }},
		{"answer that breaks off", func(context.Context, *Attempt) (*Reply, error) {
			return &Reply{Status: 200, Header: http.Header{}, Body: io.NopCloser(iotest.ErrReader(internal)), Length: 9, IDMatches: true, Authenticated: true}, nil
		}},
	} {
		e := engine(Route{Kind: Unsafe, MaxAttempts: 1}, c.send)
		w := httptest.NewRecorder()
		e.Serve(t.Context(), w, &Request{ID: "x", Method: "POST", Host: "h", Path: "/", Target: "/", Header: http.Header{}, Arrived: time.Now()})
		if body := w.Body.String(); w.Code < 500 || strings.Contains(body, "10.0.0.1") || !strings.Contains(body, `"kind"`) {
			t.Errorf("%s: got status %d with %s, want an error without the text of the internal one", c.name, w.Code, body)
		}
	}
}
