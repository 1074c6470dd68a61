// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a caller that gets a closed connection, and a log that does not name its request, where the router
// itself has a fault.
func TestPanicIsAnswered(t *testing.T) {
	e := engine(Route{Kind: Safe}, func(context.Context, *Attempt) (*Reply, error) { panic("a fault of the router") })
	core, logged := observer.New(zapcore.ErrorLevel)
	e.Log = zap.New(core)
	w := httptest.NewRecorder()
	e.Serve(context.Background(), w, &Request{ID: "a", Host: "h", Path: "/", Arrived: time.Now()})
	if w.Code != http.StatusBadGateway {
		t.Errorf("status: got %d, want %d", w.Code, http.StatusBadGateway)
	}
	if lines := logged.FilterField(zap.String("request", "a")).Len(); lines != 1 {
		t.Errorf("lines that name the request: got %d, want 1", lines)
	}
	if got := e.ActiveRequests(); got != 0 {
		t.Errorf("requests under way: got %d, want 0", got)
	}
}
