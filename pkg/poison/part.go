// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Part is a part of a prompt that several requests may hold, as the callers of one workspace or of
// all workspaces name it to one service. The zero Part stands for no part.
type Part struct {
	// ID is the name that callers give the part.
	ID string
	// Service is the service whose endpoints answer the requests.
	Service string
	// Caller is the workspace of the callers, or empty for callers without an API key. It is empty
	// if AnyCaller is set.
	Caller    string
	AnyCaller bool
}

// OfAnyCaller returns the part as all callers name it.
func (t Part) OfAnyCaller() Part { return Part{ID: t.ID, Service: t.Service, AnyCaller: true} }

// callerHash identifies the workspace of the part's callers.
func (t Part) callerHash() uint64 {
	p := Part{Caller: t.Caller}.Subject().Fingerprint
	return binary.BigEndian.Uint64(p[len(partMark):])
}

// sameScope reports whether two parts are of the same callers and service. The zero Part, of which
// these are not known, has no scope.
func (t *Part) sameScope(o *Part) bool {
	return *t != (Part{}) && t.Service == o.Service && t.Caller == o.Caller && t.AnyCaller == o.AnyCaller
}

// Subject is what crashes are evidence against: a request, or a part of prompts.
type Subject struct {
	// Fingerprint identifies the subject.
	Fingerprint Fingerprint
	// Part is the part; the zero Part for a request.
	Part Part
}

// partMark is the beginning of the fingerprint of each part. A request's fingerprint begins with it
// with a probability of 2^-32.
var partMark = [4]byte{0x70, 0x61, 0x72, 0x74}

// IsPart reports whether p identifies a part, as opposed to a request.
func (p Fingerprint) IsPart() bool { return [4]byte(p[:4]) == partMark }

// Subject returns the part as a subject. Its fingerprint covers the workspace and the service, so
// that no caller can craft a part with the fingerprint of another workspace's.
func (t Part) Subject() Subject {
	h := sha256.New()
	var size [8]byte
	for _, field := range []string{t.ID, t.Service, t.Caller} {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	if t.AnyCaller {
		h.Write([]byte{1})
	}
	s := Subject{Part: t}
	copy(s.Fingerprint[copy(s.Fingerprint[:], partMark[:]):], h.Sum(nil))
	return s
}

const (
	// maxPartText is the largest length of the text form of a Part, in bytes.
	maxPartText = 255
	// partSeparator separates the fields in the text form of a Part. Neither header fields nor
	// names contain it.
	partSeparator = "\x00"
	anyCallerMark = "*"
)

// Trackable reports whether the text forms of the part, and of the part as all callers name it, are short
// enough to be exchanged.
func (t Part) Trackable() bool {
	_, err := t.MarshalText()
	_, anyErr := t.OfAnyCaller().MarshalText()
	return t.ID != "" && err == nil && anyErr == nil
}

// MarshalText implements encoding.TextMarshaler. It fails if the text is longer than 255 bytes or a
// field contains a zero byte.
func (t Part) MarshalText() ([]byte, error) {
	if t == (Part{}) {
		return nil, nil
	}
	fields := []string{t.ID, t.Service, t.Caller}
	if t.AnyCaller {
		fields = append(fields, anyCallerMark)
	}
	text := strings.Join(fields, partSeparator)
	if len(text) > maxPartText || strings.Count(text, partSeparator) != len(fields)-1 {
		return nil, errors.Newf("poison: a part of %d bytes can not be encoded", len(text))
	}
	return []byte(text), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. An empty text is the zero Part.
func (t *Part) UnmarshalText(text []byte) error {
	*t = Part{}
	if len(text) == 0 {
		return nil
	}
	fields := strings.Split(string(text), partSeparator)
	if len(fields) < 3 || len(fields) > 4 || len(fields) == 4 && fields[3] != anyCallerMark {
		return errors.Newf("poison: %q is not a part", text)
	}
	*t = Part{ID: fields[0], Service: fields[1], Caller: fields[2], AnyCaller: len(fields) == 4}
	return nil
}

// PartReport is what a process observed of a part of prompts: the crash of an endpoint that answered
// requests with it, a whole answer to such a request, or both. The report on a part of one
// workspace is also one on the part of any workspace.
type PartReport struct {
	Part Part
	// Endpoint is the hash of the ID of the endpoint that crashed; 0 for no crash.
	Endpoint uint64
	// Age is how long the latest request with the part had been at the endpoint when it crashed.
	Age time.Duration
	// Holder identifies that request.
	Holder uint64
	// Survival is the fraction, 0 to 1, of the service's other endpoints, of those that had answered
	// requests of the observer for some time, that had answered requests with the part for that
	// long.
	Survival float64
	// SoundAge is how long ago the latest whole answer to a request with the part began, as far as
	// the observer knows; 0 for none.
	SoundAge time.Duration
}
