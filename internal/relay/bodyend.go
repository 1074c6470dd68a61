// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// bodyEnd says how the body of an endpoint's answer ended.
type bodyEnd string

const (
	// endOpen is that of a body that was not read to its end, as the router or the caller ended it.
	endOpen bodyEnd = ""
	// endLength and endLastChunk are the ends that the endpoint has announced: all bytes of the length, or the
	// last chunk.
	endLength    bodyEnd = "length"
	endLastChunk bodyEnd = "lastChunk"
	// endConnection is the end of the connection where the answer has neither a length nor chunks.
	endConnection bodyEnd = "connection"
	// endEarly is the end of the connection before the announced end, endReset a reset.
	endEarly bodyEnd = "closedEarly"
	endReset bodyEnd = "reset"
)

// framing returns the end that the head of the answer announces.
func (r *Reply) framing() bodyEnd {
	switch {
	case r.Unframed:
		return endConnection
	case r.Length >= 0:
		return endLength
	default:
		return endLastChunk
	}
}

// bodyEndOf returns how a body ended whose last read returned err; nil counts as io.EOF.
func bodyEndOf(r *Reply, err error) bodyEnd {
	switch {
	case err == nil || err == io.EOF:
		return r.framing()
	case errors.Is(err, io.ErrUnexpectedEOF):
		return endEarly
	case errors.Is(err, syscall.ECONNRESET):
		return endReset
	default:
		return endOpen
	}
}

// wholeBy returns what showed that the answer to the caller was whole; empty if it was not, or was the router's own.
func (x *run) wholeBy() bodyEnd {
	if len(x.records) == 0 {
		return endOpen
	}
	if t := &x.records[len(x.records)-1]; t.Outcome == outcomeDelivered {
		return t.BodyEnd
	}
	return endOpen
}

// endsUnannounced reports whether the caller was told the end of an answer that had no announced end, or that several
// endpoints made.
func (x *run) endsUnannounced() bool {
	by := x.wholeBy()
	return by == endConnection || by != endOpen && x.parts() > 1
}

// parts returns how many attempts sent events that the caller was sent.
func (x *run) parts() (n int) {
	for i := range x.records {
		if x.records[i].Events > 0 {
			n++
		}
	}
	return n
}

// countBodyEnds counts the answers of endpoints by how they ended, and those that went on at another endpoint.
func (x *run) countBodyEnds() {
	for i := range x.records {
		if t := &x.records[i]; t.Framing != endOpen {
			x.e.metrics.count("answer_ends", x.route.Name, string(t.Framing)+" "+string(t.BodyEnd))
		}
	}
	if by := x.wholeBy(); by != endOpen && x.parts() > 1 {
		x.e.metrics.count("answers_of_several", x.route.Name, string(by))
	}
}
