// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// call is a request of a caller and its answer.
type call struct {
	id, key, path string
	router        *router
	sentAt        time.Time
	answeredAt    time.Time
	// status is 0 if there was no complete answer.
	status     int
	retryAfter string
	signed     bool
}

// calls holds the requests of all callers. It is safe for concurrent use.
type calls struct {
	mu   sync.Mutex
	list []*call
	seq  atomic.Int64
}

func (c *calls) all() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*call(nil), c.list...)
}

// caller sends requests to one router on a kept connection, one after the other.
type caller struct {
	rec    *record
	calls  *calls
	router *router
	client *http.Client
}

func newCaller(rec *record, cs *calls, r *router) *caller {
	return &caller{rec: rec, calls: cs, router: r, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// send sends one request and records its answer.
func (c *caller) send(method, path, key string, deadline time.Duration) *call {
	x := &call{id: fmt.Sprintf("%06x", c.calls.seq.Add(1)), key: key, path: path, router: c.router}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(bytes.Repeat([]byte("b"), 600))
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.router.listen+path, body)
	if err != nil {
		panic(err)
	}
	q.GetBody = nil
	q.Host = host
	q.Header.Set("X-Request-Id", x.id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+key)
	x.sentAt = c.rec.add("caller", "sends %s %s with %s to %s as %s", method, path, key, c.router.name, x.id)
	resp, err := c.client.Do(q)
	if err == nil {
		x.retryAfter, x.signed = resp.Header.Get("Retry-After"), resp.Header.Get("X-Response-Signature") != ""
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			x.status = resp.StatusCode
		}
	}
	if err != nil {
		x.answeredAt = c.rec.add("caller", "%s has no answer: %v", x.id, err)
	} else {
		x.answeredAt = c.rec.add("caller", "%s is answered with %d", x.id, x.status)
	}
	c.calls.mu.Lock()
	c.calls.list = append(c.calls.list, x)
	c.calls.mu.Unlock()
	return x
}

// host is the host of all routes.
const host = "maps.example"

// run sends a request each pause until stop is closed, by turns with the given methods, paths and keys, as long as the
// platform gives the router connections.
func (c *caller) run(stop <-chan struct{}, pause time.Duration, requests func(n int) (method, path, key string)) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if !c.router.in.Load() {
			continue
		}
		method, path, key := requests(n)
		c.send(method, path, key, 1500*time.Millisecond)
	}
}
