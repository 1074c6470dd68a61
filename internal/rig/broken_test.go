// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/traildrift/traildrift/internal/broken"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Guards against an answer of an engine or a service with a broken head that reaches callers through guard and entry, or
// of which they are told that the run has not run.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1)})
	for _, a := range broken.Answers() {
		for _, s := range f.Services {
			s.Set(fakes.Faults{Raw: a.Text("")})
		}
		for _, e := range f.Engines {
			e.Set(fakes.Faults{Raw: a.Text("")})
		}
		for kind, q := range map[string]<-chan outcome{
			"service": send(f, 0, note("", a.Name)), "engine": send(f, 0, chat("history", a.Name, false)), "stream": send(f, 0, chat("history", a.Name, true)),
		} {
			got := <-q
			if got.answer.Err == nil || got.answer.Err.Run == fault.NotRun || got.answer.Status < 500 {
				t.Errorf("%s of a %s: got %s, status %d, %q, want an error that may have run", a.Name, kind, got.result, got.answer.Status, got.answer.Body)
			}
		}
	}
}

// Guards against the status of an answer without a body, such as a failure, that callers get as 200.
func TestStatusOfEmptyAnswers(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1)})
	for _, status := range []int{200, 201, 204, 304, 404, 500, 502} {
		for _, s := range f.Services {
			s.Set(fakes.Faults{Raw: fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))})
		}
		got := <-send(f, 0, note("", fmt.Sprint(status)))
		if got.answer.Status != status || len(got.answer.Body) > 0 {
			t.Errorf("status %d: got %s, status %d, %q, want it without a body", status, got.result, got.answer.Status, got.answer.Body)
		}
	}
}
