// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package store

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// Guards against a VM list that is lost for one odd entry, and against an odd entry that is left out without a word.
func TestOddVMCostsItself(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `[{"name":"a","link":"127.0.0.1:1"},{"name":"port","link":"127.0.0.1:70000"},[],{"name":"deep","link":"127.0.0.1:2","more":%s},null,{"name":7},{"name":"b","link":"127.0.0.1:3"}]`, deep)
	}))
	defer srv.Close()
	v := NewVMs(netip.MustParseAddrPort(srv.Listener.Addr().String()))
	var bad, names []string
	v.OnUnreadable = func(name string, _ error) { bad = append(bad, name) }
	list, err := v.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range list {
		names = append(names, vm.Name)
	}
	if want := []string{"a", "deep", "b"}; !slices.Equal(names, want) {
		t.Errorf("VMs: got %q, want %q", names, want)
	}
	if want := []string{"port", "", "", ""}; !slices.Equal(bad, want) {
		t.Errorf("left out: got %q, want %q", bad, want)
	}
}

// Guards against an object, or a list of VMs, that is read from the head of a response that did not end.
func TestCutHeadsAreNoObjects(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nObject-Version: 3\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(head) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = c.Write([]byte(strings.Replace(head, "Object-Version", VersionHeader, 1)[:cut]))
				}
				_ = c.Close()
			}
		}()
		addr := netip.MustParseAddrPort(ln.Addr().String())
		if o, err := New(addr).Get(t.Context(), "k", "n"); err == nil {
			t.Errorf("object, head cut after %d bytes: got %v, want an error", cut, o)
		}
		if list, err := NewVMs(addr).List(t.Context()); err == nil {
			t.Errorf("VMs, head cut after %d bytes: got %v, want an error", cut, list)
		}
		_ = ln.Close()
		<-ended
	}
}
