// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"bytes"
	"strconv"
)

// eventSplitter cuts a stream into whole eventSplitter.
type eventSplitter struct {
	// lastID is the ID of the lastID whole event; empty before the first.
	lastID string
	// count counts the events that were passed on.
	count int
	buf   []byte
}

// split adds what was read and returns the events that are whole now. Events that
// the caller has already, by their rising numbers, are left out. The result is
// valid until the next call.
func (s *eventSplitter) split(b []byte) []byte {
	s.buf = append(s.buf, b...)
	out := s.buf[:0:0]
	for {
		n := eventEnd(s.buf)
		if n < 0 {
			return out
		}
		event := s.buf[:n]
		id, ok := eventID(event)
		if !ok || !alreadySent(id, s.lastID) {
			out = append(out, event...)
			s.count++
			if ok {
				s.lastID = id
			}
		}
		s.buf = s.buf[n:]
	}
}

// maxEventSize bounds one event, in bytes; those of the users' runners have at most
// a few hundred.
const maxEventSize = 1 << 20

// pendingBytes returns how many bytes of an event that is not whole were read.
func (s *eventSplitter) pendingBytes() int { return len(s.buf) }

// eventEnd returns the length of the first whole event, which ends with an empty
// line, or -1.
func eventEnd(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return -1
		}
		i += n + 1
		switch {
		case bytes.HasPrefix(b[i:], []byte("\n")):
			return i + 1
		case bytes.HasPrefix(b[i:], []byte("\r\n")):
			return i + 2
		}
	}
}

// eventID returns the ID of an event.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// alreadySent reports whether an event's number is not over that of the last one.
func alreadySent(id, last string) bool {
	if last == "" {
		return false
	}
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err == nil && a <= b
}
