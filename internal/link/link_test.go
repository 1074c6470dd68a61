// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package link

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/seal"
)

func TestMain(m *testing.M) {
	assert.SetFatal()
	os.Exit(m.Run())
}

// frame returns body as a frame: with its length as a varint before it.
func frame(body string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(body))), body...)
}

// FuzzFrames checks that no input makes the codec or the decoding of parameters
// panic, and that no frame longer than the limit is accepted.
func FuzzFrames(f *testing.F) {
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"run","params":{"key":{"runID":"r","attempt":1}}}`))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add(frame(`{"id":{},"method":7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			var v json.RawMessage
			err := frameCodec{limit: func() uint64 { return 1 << 12 }}.ReadObject(r, &v)
			if err != nil {
				return
			}
			if len(v) > 1<<12 {
				t.Fatalf("got a frame of %d bytes, want at most %d", len(v), 1<<12)
			}
			_, _ = decode[wire.Run](v)
			_, _ = decode[wire.Chunk](v)
			_, _ = decode[wire.Hello](v)
		}
	})
}

// startServer serves links with the methods echo and fail until the test ends. It
// returns the local side and the address.
func startServer(t *testing.T) (*Local, netip.AddrPort) {
	t.Helper()
	l := newLocal(t, "server")
	Handle(l.Mux, "echo", func(_ context.Context, _ *Conn, p wire.Cancel) (wire.Cancel, error) { return p, nil })
	Handle(l.Mux, "fail", func(context.Context, *Conn, wire.Empty) (wire.Empty, error) {
		return wire.Empty{}, fault.New(fault.Overloaded, fault.NotRun, "full").WithRetryAt(time.Unix(7, 0))
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- l.Serve(context.Background(), ln, func(*Conn) {}) }()
	t.Cleanup(func() {
		_ = ln.Close()
		<-served
	})
	return l, ln.Addr().(*net.TCPAddr).AddrPort()
}

// newLocal returns the local side of a process with the given name as VM and
// incarnation. Messages are handled without a bound.
func newLocal(t *testing.T, name string) *Local {
	t.Helper()
	ring, err := seal.NewKeyring([]seal.Key{{ID: "a", Hex: "00112233445566778899aabbccddeeff"}})
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux(func(task func()) error { go task(); return nil }, nil)
	return &Local{Identity: wire.Identity{VM: name, Incarnation: name}, Keys: ring, Mux: mux, Revision: func() int64 { return 0 }}
}

// TestCall checks that Call returns replies, faults with their fields, NotFound
// for an unknown method, and ErrBroken once the link is closed.
func TestCall(t *testing.T) {
	_, addr := startServer(t)
	c, err := newLocal(t, "client").Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	want := wire.Cancel{Key: wire.RunKey{RunID: "r", Attempt: 2}}
	var got wire.Cancel
	if err := c.Call(t.Context(), "echo", want, &got); err != nil || got != want {
		t.Errorf("echo: got %+v %v, want %+v", got, err, want)
	}
	var f *fault.Error
	err = c.Call(t.Context(), "fail", wire.Empty{}, &wire.Empty{})
	if !errors.As(err, &f) || f.Kind != fault.Overloaded || !f.RetryAt.Equal(time.Unix(7, 0)) {
		t.Errorf("fail: got %v, want overloaded with its time", err)
	}
	if err := c.Call(t.Context(), "nothing", wire.Empty{}, &wire.Empty{}); !errors.Is(err, fault.NotFound) {
		t.Errorf("nothing: got %v, want %v", err, fault.NotFound)
	}
	c.Close()
	if err := c.Call(t.Context(), "echo", want, &got); !errors.Is(err, ErrBroken) {
		t.Errorf("after close: got %v, want %v", err, ErrBroken)
	}
}

// TestUnauthenticatedPeer checks that messages before the handshake, oversized
// frames and malformed data are not handled, and that the connection is closed.
func TestUnauthenticatedPeer(t *testing.T) {
	l, addr := startServer(t)
	tests := []struct {
		name string
		data []byte
	}{
		{"no handshake", frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{}}`)},
		{"huge frame", binary.AppendUvarint(nil, 1<<40)},
		{"garbage", bytes.Repeat([]byte{0xfe, 0x01, 0x7b}, 500)},
		{"hello alone", frame(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"nonce":"x"}}`)},
	}
	for _, tt := range tests {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(tt.data)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		got, err := io.ReadAll(c)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection stays open", tt.name)
		}
		if bytes.Contains(got, []byte(`"result":{"key"`)) {
			t.Errorf("%s: got %s, want no answer to echo", tt.name, got)
		}
		_ = c.Close()
	}
	if got := l.Handling.Load(); got != 0 {
		t.Errorf("handling: got %d, want 0", got)
	}
}
