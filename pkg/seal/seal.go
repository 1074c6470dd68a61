// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package seal turns small values into tokens that only a holder of the key
// file can make, and back.
//
// A token is prefix.keyID.payload.mac with the payload as JSON in base64url
// and an HMAC-SHA256 (RFC 2104) over everything before it. The payload is
// readable by whoever holds the token; it is sealed, not hidden.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/traildrift/traildrift/pkg/fault"
)

// Errors of this package.
const (
	ErrMalformed fault.Const = "seal: malformed token"
	ErrForged    fault.Const = "seal: no key verifies the token"
	ErrNoKey     fault.Const = "seal: no sealing key"
	ErrWeakKey   fault.Const = "seal: a key needs at least 16 bytes in hex"
)

// minKeyBytes is the shortest key that is taken.
const minKeyBytes = 16

// Key is one named secret.
type Key struct {
	// ID names the key inside tokens.
	ID string `yaml:"id" json:"id"`
	// Hex is the secret in hexadecimal, at least 16 bytes.
	Hex string `yaml:"hex" json:"-"`
}

// Ring holds the keys of a process. The first key seals, all verify, so keys
// rotate without a gap.
type Ring struct {
	keys []ringKey
}

type ringKey struct {
	id     string
	secret []byte
}

// NewRing returns a ring of the given keys. It returns ErrNoKey without keys
// and ErrWeakKey for one that is short or not hexadecimal.
func NewRing(keys []Key) (*Ring, error) {
	if len(keys) == 0 {
		return nil, ErrNoKey
	}
	r := &Ring{}
	for _, k := range keys {
		secret, err := hex.DecodeString(k.Hex)
		if err != nil || len(secret) < minKeyBytes || k.ID == "" || strings.Contains(k.ID, ".") {
			return nil, ErrWeakKey
		}
		r.keys = append(r.keys, ringKey{k.ID, secret})
	}
	return r, nil
}

// Seal returns a token with the given prefix for v.
func (r *Ring) Seal(prefix string, v any) (string, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	k := r.keys[0]
	text := prefix + "." + k.id + "." + base64.RawURLEncoding.EncodeToString(body)
	return text + "." + base64.RawURLEncoding.EncodeToString(sum(k.secret, text)), nil
}

// Open verifies a token with the given prefix and decodes it into v. It
// returns ErrMalformed or ErrForged.
func (r *Ring) Open(prefix, token string, v any) error {
	parts := strings.Split(token, ".")
	if len(parts) != 4 || parts[0] != prefix {
		return ErrMalformed
	}
	mac, err := base64.RawURLEncoding.DecodeString(parts[3])
	if err != nil {
		return ErrMalformed
	}
	text := token[:strings.LastIndexByte(token, '.')]
	if !r.verify(parts[1], text, mac) {
		return ErrForged
	}
	body, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil {
		return ErrMalformed
	}
	if json.Unmarshal(body, v) != nil {
		return ErrMalformed
	}
	return nil
}

func (r *Ring) verify(id, text string, mac []byte) bool {
	for _, k := range r.keys {
		if k.id == id && hmac.Equal(mac, sum(k.secret, text)) {
			return true
		}
	}
	return false
}

// MAC returns the MAC of text under the first key.
func (r *Ring) MAC(text string) []byte { return sum(r.keys[0].secret, text) }

// Verifies reports whether any key of the ring gives mac for text.
func (r *Ring) Verifies(text string, mac []byte) bool {
	for _, k := range r.keys {
		if hmac.Equal(mac, sum(k.secret, text)) {
			return true
		}
	}
	return false
}

func sum(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(text))
	return h.Sum(nil)
}
