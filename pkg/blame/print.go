// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package blame

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// PrintBytes is the length of a Print, in bytes: of 2^32 requests two have the same by
// chance once in 2^65 times.
const PrintBytes = 16

// Print names a request by what it asks and who asks it: its repeats have the same. It is
// cut from a SHA-256, so that nobody can make a request with the Print of another caller's
// whose body he does not know; and the caller is part of it.
type Print [PrintBytes]byte

// Asked is what a Print is taken of. Headers are left out: IDs, deadlines and places of a
// stream differ between repeats.
type Asked struct {
	Method, Host, Path string
	// Query counts where there is no body: it is what is asked then.
	Query string
	// Caller is the workspace; empty for callers without a key.
	Caller string
	Body   []byte
}

// Print returns the name of a request.
func (a *Asked) Print() Print {
	query := a.Query
	if len(a.Body) > 0 {
		query = ""
	}
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{a.Method, a.Host, a.Path, query, a.Caller} {
		// With the lengths no two lists of parts hash the same bytes.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(a.Body)
	var p Print
	copy(p[:], h.Sum(nil))
	return p
}

// String returns the Print in hex.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// ParsePrint reads what String wrote.
func ParsePrint(text string) (Print, error) {
	var p Print
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != PrintBytes {
		return p, errors.Newf("blame: %q is not a request's print of %d hex digits", text, 2*PrintBytes)
	}
	copy(p[:], b)
	return p, nil
}
