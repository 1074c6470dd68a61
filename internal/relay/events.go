// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events. The zero value is ready
// to use.
type eventSplitter struct {
	// lastID is the ID of the last complete event; empty before the first. An event whose number is
	// not greater is dropped.
	lastID string
	// firstID is the ID of the first event that split has returned; empty before, or if it had none.
	firstID string
	// count is the number of events that split has returned.
	count int
	buf   []byte
	// resumed says that the stream goes on with one of another endpoint: its events need IDs. lacksID says that one
	// had none; split returns no more events then.
	resumed, lacksID bool
}

// split adds b to the stream and returns the events that are complete now. It leaves out events
// that the caller already has, by their increasing numbers. The result is valid until the next
// call.
func (s *eventSplitter) split(b []byte) []byte {
	s.buf = append(s.buf, b...)
	out := s.buf[:0:0]
	for {
		n := eventEnd(s.buf)
		if n < 0 || s.lacksID {
			return out
		}
		event := s.buf[:n]
		id, ok := eventID(event)
		if s.lacksID = s.resumed && !ok; s.lacksID {
			return out
		}
		if !ok || !alreadySent(id, s.lastID) {
			out = append(out, event...)
			if s.count == 0 {
				s.firstID = id
			}
			s.count++
			if ok {
				s.lastID = id
			}
		}
		s.buf = s.buf[n:]
	}
}

// maxEventSize is the maximum size of one event, in bytes. Events usually have at most a few
// hundred.
const maxEventSize = 1 << 20

// pendingBytes returns the number of bytes read of an event that is not complete.
func (s *eventSplitter) pendingBytes() int { return len(s.buf) }

// eventEnd returns the length of the first complete event, which ends with an empty line, or -1.
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

// eventID returns the ID of an event; ok is false if it has none.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// alreadySent reports whether both IDs are numbers and id is not greater than last.
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
