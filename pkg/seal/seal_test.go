// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package seal

import (
	"strings"
	"testing"
)

const (
	hexA = "00112233445566778899aabbccddeeff"
	hexB = "ffeeddccbbaa99887766554433221100"
)

func newTestKeyring(t *testing.T, keys ...Key) *Keyring {
	t.Helper()
	r, err := NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestOpen checks that tokens stay valid while keys are rotated, and that
// altered tokens and those of removed keys are rejected.
func TestOpen(t *testing.T) {
	a, b := Key{ID: "a", Hex: hexA}, Key{ID: "b", Hex: hexB}
	old, rotated, later := newTestKeyring(t, a), newTestKeyring(t, b, a), newTestKeyring(t, b)
	token, err := old.Seal("p", 42)
	if err != nil {
		t.Fatal(err)
	}
	fresh, _ := rotated.Seal("p", 42)
	tests := []struct {
		name    string
		keyring *Keyring
		prefix  string
		token   string
		want    error
	}{
		{"same key", old, "p", token, nil},
		{"rotated keyring verifies with the old key", rotated, "p", token, nil},
		{"rotated keyring signs with the first key", later, "p", fresh, nil},
		{"removed key", later, "p", token, ErrForged},
		{"other prefix", old, "q", token, ErrMalformed},
		{"changed payload", old, "p", strings.Replace(token, ".NDI.", ".NDM.", 1), ErrForged},
		{"truncated", old, "p", token[:len(token)-20], ErrForged},
		{"not a token", old, "p", "hello", ErrMalformed},
	}
	for _, tt := range tests {
		var v int
		got := tt.keyring.Open(tt.prefix, tt.token, &v)
		if got != tt.want || (got == nil && v != 42) {
			t.Errorf("%s: got %v %d, want %v", tt.name, got, v, tt.want)
		}
	}
}

func TestWeakKeys(t *testing.T) {
	for _, k := range []Key{{ID: "a", Hex: "0011"}, {ID: "a", Hex: "zz"}, {ID: "", Hex: hexA}, {ID: "a.b", Hex: hexA}} {
		if _, got := NewKeyring([]Key{k}); got != ErrWeakKey {
			t.Errorf("%+v: got %v, want %v", k, got, ErrWeakKey)
		}
	}
}

// FuzzOpen checks that Open accepts no text but a token that Seal returned.
func FuzzOpen(f *testing.F) {
	r, _ := NewKeyring([]Key{{ID: "a", Hex: hexA}})
	token, _ := r.Seal("p", "x")
	f.Add(token)
	f.Add("p.a..")
	f.Fuzz(func(t *testing.T, text string) {
		var v any
		if err := r.Open("p", text, &v); err == nil && text != token {
			t.Errorf("opened %q", text)
		}
	})
}
