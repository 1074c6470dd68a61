// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package upconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/broken"
)

// checkIn checks text in pieces of at most size bytes, and returns the number of sound bytes and the rule that is broken.
func checkIn(text string, size int) (n int, rule HeadError) {
	var h head
	for rule == "" && n < len(text) {
		sound := 0
		sound, rule = h.check([]byte(text[n:min(n+size, len(text))]))
		n += sound
	}
	return n, rule
}

// Guards against rules that hold only where a head arrives in one piece, or that also hold in a body.
func TestHeadsAreCheckedInPieces(t *testing.T) {
	for _, a := range broken.Answers() {
		for size := 1; size < 40; size++ {
			if n, rule := checkIn(a.Text(""), size); rule == "" {
				t.Errorf("%s in pieces of %d: got no rule that is broken in %d bytes, want one", a.Name, size, n)
			}
		}
	}
	for _, a := range broken.SoundAnswers() {
		for size := 1; size < 40; size++ {
			text := a.Text("") + "HTTP/1.1 000\r\nX Bad : \x00\r\n\r\n"
			if n, rule := checkIn(text, size); rule != "" {
				t.Errorf("%s in pieces of %d: got %q after %d bytes, want no rule that is broken", a.Name, size, rule, n)
			}
		}
	}
}

// Guards against lines that end with LF alone, as some servers send them, that break a rule.
func TestLinesMayEndWithLF(t *testing.T) {
	if _, rule := checkIn("HTTP/1.0 200 OK\nContent-Length: 0\n\n\x00", 1<<10); rule != "" {
		t.Errorf("head: got %q, want no rule that is broken", rule)
	}
}

// FuzzHead guards against results that depend on how a head is split.
func FuzzHead(f *testing.F) {
	for _, a := range append(broken.Answers(), broken.SoundAnswers()...) {
		f.Add(a.Text(""), 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		n, rule := checkIn(text, max(len(text), 1))
		if m, split := checkIn(text, min(max(size, 1), 1<<10)); m != n || split != rule {
			t.Errorf("%q: got %q after %d bytes, in pieces of %d %q after %d", text, rule, n, size, split, m)
		}
	})
}

// answers serves one connection after the other: the answers to the requests on each are those of list, in turn. It
// returns its address.
func answers(t *testing.T, list ...string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for _, text := range list {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, text)
		}
	}
	go func() {
		defer close(served)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			serve(c)
		}
	}()
	t.Cleanup(func() { <-served })
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a head that is checked only in the first answer on a connection that is kept.
func TestLaterAnswersAreChecked(t *testing.T) {
	for _, a := range broken.Answers() {
		addr := answers(t, sound, sound, a.Text(""))
		transport := &http.Transport{DialContext: DialContext}
		client := http.Client{Transport: Transport{transport}}
		kept := fasthttp.HostClient{Addr: addr, Dial: DialSequential, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
		for name, get := range map[string]func() (int, error){
			"net/http": func() (int, error) {
				resp, err := client.Get("http://" + addr)
				if err != nil {
					return 0, err
				}
				defer func() { _ = resp.Body.Close() }()
				_, err = io.Copy(io.Discard, resp.Body)
				return resp.StatusCode, err
			},
			"fasthttp": func() (int, error) {
				status, _, err := kept.Get(nil, "http://"+addr)
				return status, err
			},
		} {
			for i := range 2 {
				if status, err := get(); err != nil || status != http.StatusOK {
					t.Errorf("%s, %s, answer %d: got %d, %v, want 200", a.Name, name, i, status, err)
				}
			}
			if status, err := get(); err == nil || !errors.As(err, new(HeadError)) {
				t.Errorf("%s, %s, broken answer: got %d, %v, want a HeadError", a.Name, name, status, err)
			}
			transport.CloseIdleConnections()
			kept.CloseIdleConnections()
		}
	}
}

// An answer that comes before its request was written whole is checked to its end as one answer.
//
// Guards against the rest of an upload that makes the body of its answer be taken for a head.
func TestBodyIsNoHeadDuringUpload(t *testing.T) {
	first := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		close(first)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "last")
	}))
	defer srv.Close()
	body, upload := io.Pipe()
	go func() {
		<-first
		_, _ = upload.Write(make([]byte, 1<<20))
		_ = upload.Close()
	}()
	client := http.Client{Transport: Transport{&http.Transport{DialContext: DialContext, DisableKeepAlives: true}}}
	resp, err := client.Post(srv.URL, "", body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "firstlast" {
		t.Errorf("answer: got %q, %v, want %q", got, err, "firstlast")
	}
}
