// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"bytes"
	"context"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/acct"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// accountOf returns the tables of traildrift account, by name, over the log lines of a function. With -v the
// test's log shows the lines, from which docs/OPERATIONS.md takes its examples.
func accountOf(t *testing.T, f func(log *zap.Logger)) map[string]acct.Table {
	t.Helper()
	var lines bytes.Buffer
	log, w := logs.NewAsync(&lines, "")
	f(log)
	w.Close()
	t.Logf("\n%s", lines.Bytes())
	a := acct.New()
	if err := a.Read("a-1", &lines); err != nil {
		t.Fatal(err)
	}
	a.Finish()
	tables := make(map[string]acct.Table)
	for _, table := range a.Tables() {
		tables[table.Name] = table
	}
	return tables
}

// checkCell checks the cell of a column in the only row of a table.
func checkCell(t *testing.T, table acct.Table, column, want string) {
	t.Helper()
	i := slices.Index(table.Head, column)
	if i < 0 || len(table.Rows) != 1 {
		t.Fatalf("%s: got %d rows of %v, want one with column %q", table.Name, len(table.Rows), table.Head, column)
	}
	if got := table.Rows[0][i]; got != want {
		t.Errorf("%s: %s: got %q, want %q", table.Name, column, got, want)
	}
}

// The tests below guard against an account that no longer reads what routers log, as when a field is renamed
// on one side only: the lines are those of an engine that serves requests.

func TestAccountOfHeldRequest(t *testing.T) {
	tables := accountOf(t, func(log *zap.Logger) {
		e := contendedEngine(onceRoute, &busyEndpoints{full: map[string]bool{}})
		e.Log = log
		setFullFor(e, 50*time.Millisecond)
		call(t.Context(), e, "x", 2500*time.Millisecond)
	})
	checkCell(t, tables["held"], "route", "r")
	checkCell(t, tables["held"], "in time", "1")
	if n := len(tables["refusals"].Rows); n != 0 {
		t.Errorf("refusals: got %d rows, want none", n)
	}
}

func TestAccountOfRefusedRequest(t *testing.T) {
	tables := accountOf(t, func(log *zap.Logger) {
		e := contendedEngine(onceRoute, &busyEndpoints{full: map[string]bool{"e": true}})
		e.Log = log
		call(t.Context(), e, "x", 2500*time.Millisecond)
	})
	checkCell(t, tables["refusals"], "route", "r")
	checkCell(t, tables["refusals"], "outcome", "overloaded")
	checkCell(t, tables["held"], "not served", "1")
	checkCell(t, tables["causes"], "main cause", "not served: overloaded")
	if i := slices.Index(tables["causes"].Head, "held"); tables["causes"].Rows[0][i] == "0" {
		t.Error("causes: the time held at the router is missing")
	}
}

func TestAccountOfRequestWithPrice(t *testing.T) {
	tables := accountOf(t, func(log *zap.Logger) {
		var ranks []int
		e, serve := workspaceEngine(t, Route{Kind: Stream, Resume: true, Affinity: true, Aim: config.Span(2 * time.Second)}, true, &ranks)
		e.Log = log
		contend(e)
		serve("largeKey")
	})
	checkCell(t, tables["classes"], "requests", "1")
	if i := slices.Index(tables["classes"].Head, "price mean"); tables["classes"].Rows[0][i] == "0.00" {
		t.Error("classes: the price is missing")
	}
	checkCell(t, tables["classes"], "class", "largest")
}

func TestAccountOfUnaskedModel(t *testing.T) {
	tables := accountOf(t, func(log *zap.Logger) {
		modelsAsked(t, 15, largerModelCosts(0.18, 0.35), func(e *Engine) {
			e.Log = log
			contend(e)
			raisePrice(e, "s", 5*time.Second)
		})
	})
	checkCell(t, tables["classes"], "unasked", "1")
	checkCell(t, tables["classes"], "class", "anonymous")
}

func TestAccountOfMovedStream(t *testing.T) {
	tables := accountOf(t, func(log *zap.Logger) {
		s := newStreams(t, streamRoute, 4)
		s.e.Log, s.gap = log, slowFirst
		teach(s.e, 100, 20*time.Millisecond)
		send := s.e.Send
		s.e.Send = func(ctx context.Context, a *Attempt) (*Reply, error) {
			s.now = s.now.Add(300 * time.Millisecond) // the time to the head
			return send(ctx, a)
		}
		s.serve(t, 15*time.Second, nil)
	})
	checkCell(t, tables["moved"], "outcome", "whole")
	checkCell(t, tables["moved"], "in time", "1")
	checkCell(t, tables["moved"], "pause p50", "300")
	checkCell(t, tables["ends"], "predicted", "2")
	checkCell(t, tables["ends"], "ended", "1")
}

func TestAccountOfSilentAttempt(t *testing.T) {
	tables := accountOf(t, func(log *zap.Logger) {
		sent := 0
		e := engine(Route{Kind: Safe, MaxAttempts: 2, Aim: config.Span(100 * time.Millisecond)}, func(ctx context.Context, _ *Attempt) (*Reply, error) {
			if sent++; sent > 1 {
				return answer(1, 0), nil
			}
			<-ctx.Done()
			return nil, fault.New(fault.EndpointLost, fault.MayHaveRun, "silent")
		})
		e.Log = log
		e.Serve(t.Context(), httptest.NewRecorder(), &Request{ID: "x", Method: "GET", Host: "h", Path: "/", Target: "/", Arrived: time.Now()})
	})
	checkCell(t, tables["silent"], "shown by", "own timer")
	checkCell(t, tables["silent"], "when", "before the head")
	checkCell(t, tables["silent"], "whole", "1")
}

// Where no mechanism is in use, nothing of them may be logged: the tables are empty.
func TestAccountWithoutContention(t *testing.T) {
	tables := accountOf(t, func(log *zap.Logger) {
		s := newStreams(t, streamRoute, 4)
		l := *s.e.limits.Load()
		l.Contention = false
		s.e.SetLimits(l)
		s.e.Log, s.gap = log, slowFirst
		teach(s.e, 100, 20*time.Millisecond)
		s.serve(t, 60*time.Second, nil)
		e := engine(onceRoute, (&busyEndpoints{full: map[string]bool{"e": true}}).send)
		e.Log = log
		call(t.Context(), e, "x", 2500*time.Millisecond)
	})
	for _, name := range []string{"held", "refusals", "classes", "ends", "moved", "silent"} {
		if n := len(tables[name].Rows); n != 0 {
			t.Errorf("%s: got %d rows, want none: %v", name, n, tables[name].Rows)
		}
	}
}
