// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// FingerprintBytes is the length of a Fingerprint, in bytes: of 2^32 requests two have the same by
// chance once in 2^65 times.
const FingerprintBytes = 16

// Fingerprint names a request by what it asks and who asks it: its repeats have the same. It is
// cut from a SHA-256, so that nobody can make a request with the Fingerprint of another caller's
// whose body he does not know; and the caller is part of it.
type Fingerprint [FingerprintBytes]byte

// Request is what a Fingerprint is taken of. Headers are left out: IDs, deadlines and places of a
// stream differ between repeats.
type Request struct {
	Method, Host, Path string
	// Query counts where there is no body: it is what is asked then.
	Query string
	// Caller is the workspace; empty for callers without a key.
	Caller string
	Body   []byte
}

// Fingerprint returns the name of a request.
func (r *Request) Fingerprint() Fingerprint {
	query := r.Query
	if len(r.Body) > 0 {
		query = ""
	}
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{r.Method, r.Host, r.Path, query, r.Caller} {
		// With the lengths no two lists of parts hash the same bytes.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	var p Fingerprint
	copy(p[:], h.Sum(nil))
	return p
}

// String returns the Fingerprint in hex.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	var p Fingerprint
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != FingerprintBytes {
		return p, errors.Newf("poison: %q is not a fingerprint of %d hex digits", text, 2*FingerprintBytes)
	}
	copy(p[:], b)
	return p, nil
}
