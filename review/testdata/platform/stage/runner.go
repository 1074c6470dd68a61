// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a runner began to run.
type arrival struct {
	id, runner, tenant string
	// line is the method and the target of the request as they came. method, path (with the query), host and body are
	// those that it has by HTTP, for a target in absolute form as well.
	line, method, path, host, body string
	at                             time.Time
}

// arrivals holds what all runners ran. It is safe for concurrent use.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

// all returns the requests run so far.
func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// runner is a stand-in for a plain runner, which answers each request after work.
type runner struct {
	id, service, zone, version string
	work                       time.Duration
	rec                        *record
	runs                       *arrivals
	srv                        *httptest.Server
	running                    atomic.Int64
	leaving                    atomic.Bool
}

// slots is the number of requests that a runner works on at once.
const slots = 6

func newRunner(rec *record, runs *arrivals, id, service, zone string, work time.Duration) *runner {
	r := &runner{id: id, service: service, zone: zone, version: "1", work: work, rec: rec, runs: runs}
	r.srv = httptest.NewServer(http.HandlerFunc(r.serve))
	return r
}

// entry returns the runner's entry in the store.
func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.srv.Listener.Addr().String(), "zone": r.zone, "version": r.version,
		"capacity": slots, "state": state, "cold_remaining_ms": 0, "sequence": 1,
	}
}

// pathOf returns the path and the query of a request, without the host that a target in absolute form has.
func pathOf(q *http.Request) string {
	if strings.HasPrefix(q.RequestURI, "/") {
		return q.RequestURI
	}
	path := q.URL.EscapedPath()
	if q.URL.RawQuery != "" {
		path += "?" + q.URL.RawQuery
	}
	return path
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if got := q.Header.Get("X-Target-Instance"); got != "" && got != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("X-Request-Id")
	n := r.running.Add(1)
	defer r.running.Add(-1)
	tenant := q.Header.Get("X-Tenant")
	at := r.rec.add("runner", "%s begins to run %s: %s %s, host %s, for tenant %s", r.id, id, q.Method, q.RequestURI, q.Host, tenant)
	r.runs.add(arrival{id: id, runner: r.id, tenant: tenant, line: q.Method + " " + q.RequestURI, method: q.Method, path: pathOf(q), host: q.Host, body: string(body), at: at})
	time.Sleep(r.work)
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Signature", "sig-"+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(n, slots), slots))
	if r.leaving.Load() {
		h.Set("Connection", "close")
	}
	fmt.Fprintf(w, "answer to %s", id)
}
