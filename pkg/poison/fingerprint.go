// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// FingerprintBytes is the length of a Fingerprint, in bytes. Among 2^32 requests the probability
// that two have the same by chance is 2^-65.
const FingerprintBytes = 16

// Fingerprint identifies a request by its content and its caller; repeats of a request have the
// same one. It is a truncated SHA-256 hash that covers the caller, so that no caller can craft a
// request with the fingerprint of another caller's request whose body is not known to them.
type Fingerprint [FingerprintBytes]byte

// Request holds the parts of a request that its Fingerprint covers. Headers are left out, as
// request IDs, deadlines and stream offsets differ between repeats.
type Request struct {
	Method, Host, Path string
	// Query is covered only if Body is empty: the query then is the request's content.
	Query string
	// Caller is the name of the workspace, or empty for callers without an API key.
	Caller string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() Fingerprint {
	query := r.Query
	if len(r.Body) > 0 {
		query = ""
	}
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{r.Method, r.Host, r.Path, query, r.Caller} {
		// The length prefixes keep different lists of parts from hashing the same bytes.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	var p Fingerprint
	copy(p[:], h.Sum(nil))
	return p
}

// String returns the fingerprint in lower-case hex.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// ParseFingerprint parses the hex form that String returns. It fails if text is not exactly
// 2*FingerprintBytes hex digits.
func ParseFingerprint(text string) (Fingerprint, error) {
	var p Fingerprint
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != FingerprintBytes {
		return p, errors.Newf("poison: %q is not a fingerprint of %d hex digits", text, 2*FingerprintBytes)
	}
	copy(p[:], b)
	return p, nil
}
