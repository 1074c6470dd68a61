// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package blame

import "testing"

// Repeats have the same Print, and nothing else has it: a part that ends where another
// begins makes no other request the same.
func TestPrint(t *testing.T) {
	first := Asked{Method: "POST", Host: "h", Path: "/a/b", Query: "x=1", Caller: "ws", Body: []byte("body")}
	change := func(fn func(a *Asked)) Print {
		a := first
		fn(&a)
		return a.Print()
	}
	same := first.Print()
	for _, c := range []struct {
		name string
		got  Print
		want bool
	}{
		{"repeat", change(func(*Asked) {}), true},
		{"another query beside a body", change(func(a *Asked) { a.Query = "x=2" }), true},
		{"method", change(func(a *Asked) { a.Method = "PUT" }), false},
		{"host", change(func(a *Asked) { a.Host = "g" }), false},
		{"path", change(func(a *Asked) { a.Path = "/a/c" }), false},
		{"caller", change(func(a *Asked) { a.Caller = "ws2" }), false},
		{"one byte of the body", change(func(a *Asked) { a.Body = []byte("bodz") }), false},
		{"parts cut elsewhere", change(func(a *Asked) { a.Host, a.Path = "h/a", "/b" }), false},
	} {
		if got := c.got == same; got != c.want {
			t.Errorf("%s: same print: got %v, want %v", c.name, got, c.want)
		}
	}
	plain := Asked{Method: "GET", Path: "/tile", Query: "x=1"}
	other := Asked{Method: "GET", Path: "/tile", Query: "x=2"}
	if plain.Print() == other.Print() {
		t.Error("requests without a body and with other queries: got the same print")
	}
	if got, err := ParsePrint(same.String()); err != nil || got != same {
		t.Errorf("ParsePrint: got %v, %v, want %v", got, err, same)
	}
	if _, err := ParsePrint("beef"); err == nil {
		t.Error("ParsePrint of two bytes: got no error")
	}
}

func BenchmarkPrint(b *testing.B) {
	a := Asked{Method: "POST", Host: "h", Path: "/a/b", Caller: "ws", Body: make([]byte, 16<<10)}
	b.SetBytes(int64(len(a.Body)))
	for b.Loop() {
		a.Print()
	}
}
