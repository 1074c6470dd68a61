// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package seal encodes small values as authenticated tokens, which only a
// holder of the key file can create, and decodes them.
//
// A token has the form prefix.keyID.payload.mac. The payload is JSON in unpadded
// base64url. The MAC is an HMAC-SHA256 (RFC 2104) over everything before the
// last dot, in the same encoding. Tokens are authenticated, not encrypted:
// whoever holds one can read its payload.
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
	// ErrMalformed means that a token does not have the expected form, prefix
	// or payload.
	ErrMalformed fault.Const = "seal: malformed token"
	// ErrForged means that no key verifies the MAC of a token.
	ErrForged fault.Const = "seal: no key verifies the token"
	// ErrNoKey means that a keyring would be empty.
	ErrNoKey fault.Const = "seal: no sealing key"
	// ErrWeakKey means that a secret is too short or not hexadecimal, or that
	// a key ID is empty or contains a dot.
	ErrWeakKey fault.Const = "seal: a key needs at least 16 bytes in hex"
)

// minKeyBytes is the minimum length of a secret, in bytes.
const minKeyBytes = 16

// Key is one named secret.
type Key struct {
	// ID identifies the key inside tokens. It may not be empty or contain a
	// dot.
	ID string `yaml:"id" json:"id"`
	// Hex is the secret in hexadecimal, at least 16 bytes long when decoded.
	Hex string `yaml:"hex" json:"-"`
}

// Keyring holds the keys of a process. The first key signs and all keys verify,
// so that keys can be rotated without rejecting tokens in circulation. It must
// be created with NewKeyring and is safe for concurrent use.
type Keyring struct {
	keys []namedSecret
}

// namedSecret is a Key with its secret decoded.
type namedSecret struct {
	id     string
	secret []byte
}

// NewKeyring returns a keyring of the given keys, the signing key first. It
// returns ErrNoKey if there are none and ErrWeakKey if one is not valid.
func NewKeyring(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, ErrNoKey
	}
	r := &Keyring{}
	for _, k := range keys {
		secret, err := hex.DecodeString(k.Hex)
		if err != nil || len(secret) < minKeyBytes || k.ID == "" || strings.Contains(k.ID, ".") {
			return nil, ErrWeakKey
		}
		r.keys = append(r.keys, namedSecret{k.ID, secret})
	}
	return r, nil
}

// Seal returns a token with the given prefix for v. It returns an error if v
// cannot be encoded as JSON. The prefix must not contain a dot.
func (r *Keyring) Seal(prefix string, v any) (string, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	k := r.keys[0]
	text := prefix + "." + k.id + "." + base64.RawURLEncoding.EncodeToString(body)
	return text + "." + base64.RawURLEncoding.EncodeToString(hmacSHA256(k.secret, text)), nil
}

// Open verifies a token with the given prefix and decodes its payload into v,
// which must be a pointer. It returns ErrMalformed or ErrForged.
func (r *Keyring) Open(prefix, token string, v any) error {
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

// verify reports whether a key with the given ID gives mac for text.
func (r *Keyring) verify(id, text string, mac []byte) bool {
	for _, k := range r.keys {
		if k.id == id && hmac.Equal(mac, hmacSHA256(k.secret, text)) {
			return true
		}
	}
	return false
}

// MAC returns the HMAC-SHA256 of text under the first key.
func (r *Keyring) MAC(text string) []byte { return hmacSHA256(r.keys[0].secret, text) }

// Verifies reports whether any key gives mac for text.
func (r *Keyring) Verifies(text string, mac []byte) bool {
	for _, k := range r.keys {
		if hmac.Equal(mac, hmacSHA256(k.secret, text)) {
			return true
		}
	}
	return false
}

// hmacSHA256 returns the HMAC-SHA256 of text.
func hmacSHA256(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(text))
	return h.Sum(nil)
}
