// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import "testing"

// Repeats of a request have the same Fingerprint, and other requests have another one. Moving the
// boundary between two parts changes the fingerprint.
func TestFingerprint(t *testing.T) {
	first := Request{Method: "POST", Host: "h", Path: "/a/b", Query: "x=1", Caller: "ws", Body: []byte("body")}
	change := func(fn func(a *Request)) Fingerprint {
		a := first
		fn(&a)
		return a.Fingerprint()
	}
	same := first.Fingerprint()
	for _, c := range []struct {
		name string
		got  Fingerprint
		want bool
	}{
		{"repeat", change(func(*Request) {}), true},
		{"another query beside a body", change(func(a *Request) { a.Query = "x=2" }), true},
		{"method", change(func(a *Request) { a.Method = "PUT" }), false},
		{"host", change(func(a *Request) { a.Host = "g" }), false},
		{"path", change(func(a *Request) { a.Path = "/a/c" }), false},
		{"caller", change(func(a *Request) { a.Caller = "ws2" }), false},
		{"one byte of the body", change(func(a *Request) { a.Body = []byte("bodz") }), false},
		{"parts cut elsewhere", change(func(a *Request) { a.Host, a.Path = "h/a", "/b" }), false},
	} {
		if got := c.got == same; got != c.want {
			t.Errorf("%s: same fingerprint: got %v, want %v", c.name, got, c.want)
		}
	}
	plain := Request{Method: "GET", Path: "/tile", Query: "x=1"}
	other := Request{Method: "GET", Path: "/tile", Query: "x=2"}
	if plain.Fingerprint() == other.Fingerprint() {
		t.Error("requests without a body and with different queries: got the same fingerprint")
	}
	if got, err := ParseFingerprint(same.String()); err != nil || got != same {
		t.Errorf("ParseFingerprint: got %v, %v, want %v", got, err, same)
	}
	if _, err := ParseFingerprint("beef"); err == nil {
		t.Error("ParseFingerprint of two bytes: got no error")
	}
}

func BenchmarkFingerprint(b *testing.B) {
	a := Request{Method: "POST", Host: "h", Path: "/a/b", Caller: "ws", Body: make([]byte, 16<<10)}
	b.SetBytes(int64(len(a.Body)))
	for b.Loop() {
		a.Fingerprint()
	}
}
