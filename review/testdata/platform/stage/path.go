// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// rawCall is a request that was written as it stands, and the status of its answer; 0 if there was none.
type rawCall struct {
	id, method, target, body string
	status                   int
}

// sendRaw sends a request on a connection of its own. The library's client would rewrite the target.
func (s *stage) sendRaw(r *router, method, target string) *rawCall {
	x := &rawCall{id: fmt.Sprintf("%06x", s.calls.seq.Add(1)), method: method, target: target}
	if method == http.MethodPost {
		x.body = strings.Repeat("b", 600)
	}
	s.rec.add("caller", "sends %s %s to %s as %s", method, target, r.name, x.id)
	c, err := net.Dial("tcp", r.listen)
	if err == nil {
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			method, target, host, x.id, keys[0], len(x.body), x.body)
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		x.status = resp.StatusCode
	}
	s.rec.add("caller", "%s is answered with %d, error %v", x.id, x.status, err)
	return x
}

// configInForce is how long after its acknowledgement a configuration is in force at all routers, with a second to spare.
const configInForce = 3 * time.Second

// path lets the operator add a route for all paths of a host that no other route has. Some clients join the address
// of the host and a path with two slashes.
func (s *stage) path() (broken []string, err error) {
	if err := s.startRouters(); err != nil {
		return nil, err
	}
	s.startCallers(1, 40*time.Millisecond, usual)
	time.Sleep(3 * time.Second)
	more := route("print", "/print/", "unsafe", 1)
	if s.trouble {
		more = route("rest", "/", "unsafe", 1)
	}
	s.store.put("config", "main", configuration(2, keys, more))
	time.Sleep(configInForce)
	sent := make(map[string]*rawCall)
	served := 0
	for n := range 20 {
		for _, r := range s.routers {
			for _, target := range []string{"/titles/17", "//titles/17", "//titles/17?copy=1"} {
				x := s.sendRaw(r, http.MethodPost, target)
				sent[x.id] = x
				if x.status == http.StatusOK {
					served++
				}
			}
		}
		if n%5 == 4 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	s.quiet()
	if before, _ := s.served(time.Now()); before == 0 || s.trouble && served == 0 {
		return nil, errNoTraffic
	}
	n := 0
	for _, a := range s.runs.all() {
		x := sent[a.id]
		if x == nil || a.method == x.method && a.path == x.target && a.body == x.body {
			continue
		}
		n++
		broken = append(broken, fmt.Sprintf("UNASKED: %s was sent as %s %s to host %s, and %s ran %s, which is %s of host %s", a.id, x.method, x.target, host, a.runner, a.line, a.path, a.host))
	}
	if n > 0 {
		broken = append(broken, fmt.Sprintf("runners ran %d requests with another path than the client's, of %d", n, len(sent)))
	}
	return broken, nil
}
