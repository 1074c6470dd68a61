// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/pkg/fault"
)

// deliver passes an answer on. It reports whether another attempt follows,
// because the answer broke and may be asked for again or resumed.
func (x *run) deliver(ctx context.Context, a *Attempt, t *try, reply *Reply, s *silence) (next bool) {
	var broke error
	began := x.e.Now()
	if x.route.Kind == Stream && reply.Status < 300 {
		broke = x.deliverStream(a, reply, t, s)
	} else {
		broke = x.deliverWhole(reply, t, s)
	}
	if broke == nil {
		t.Outcome = "delivered"
		x.e.ended(x.route, x.e.Now().Sub(began))
		x.e.whole(a)
		x.e.harmless(a, reply.Status)
		x.log(x.e.Now(), reply.Status, nil)
		return false
	}
	if callerLeft(broke) {
		t.Outcome = "caller left"
		x.log(x.e.Now(), reply.Status, fault.New(fault.CallerGone, fault.MayHaveRun, "The caller has left."))
		return false
	}
	return x.lost(ctx, a, t, fault.New(fault.EndpointLost, fault.MayHaveRun, "The answer broke off: %v.", broke))
}

// leftError says that the caller could not be written to.
type leftError struct{ error }

func callerLeft(err error) bool {
	_, ok := err.(leftError)
	return ok
}

// head sends the head of an answer to the caller.
func (x *run) head(reply *Reply, length int64) {
	h := x.w.Header()
	maps.Copy(h, reply.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.lastOnConnection()
	x.begun, x.headAt = true, x.e.Now()
	x.w.WriteHeader(reply.Status)
}

// wholeMost is how long an answer may be, in bytes, to be read whole before its
// head is sent, so that a broken one can be asked for again.
const wholeMost = 256 << 10

// deliverWhole passes on an answer that is not a stream.
func (x *run) deliverWhole(reply *Reply, t *try, s *silence) error {
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeMost))
	t.Got = len(body)
	if err != nil {
		return err
	}
	s.stop()
	if len(body) < wholeMost {
		x.head(reply, int64(len(body)))
		return x.write(body)
	}
	x.head(reply, reply.Length)
	if err := x.write(body); err != nil {
		return err
	}
	n, err := io.CopyBuffer(callerWriter{x}, struct{ io.Reader }{reply.Body}, make([]byte, copyBuffer))
	t.Got += int(n)
	return err
}

// callerWriter writes to the caller; its errors say that the caller left.
type callerWriter struct{ x *run }

// Write writes to the caller.
func (w callerWriter) Write(b []byte) (int, error) {
	if err := w.x.write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// copyBuffer is the size of the pieces in which answers are passed on, in bytes.
const copyBuffer = 16 << 10

func (x *run) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := x.w.Write(b); err != nil {
		return leftError{err}
	}
	return nil
}

// errLongEvent ends a stream whose event does not end.
var errLongEvent = errors.New("relay: an event is too long")

// deliverStream passes on whole events as they come.
func (x *run) deliverStream(a *Attempt, reply *Reply, t *try, s *silence) error {
	if !x.begun {
		x.head(reply, -1)
	}
	flush := http.NewResponseController(x.w)
	ev := events{last: x.lastEvent}
	buf := make([]byte, eventBuffer)
	heard := x.e.Now()
	var p pace
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			now := x.e.Now()
			if p.add(now.Sub(heard)) {
				x.e.paced(a, &p)
				t.Pace, t.Weighed = p.least, a.weighed
			}
			t.Pause = max(t.Pause, now.Sub(heard).Milliseconds())
			heard = now
			t.Got += n
			s.heardNow()
			out := ev.take(buf[:n])
			if werr := x.write(out); werr != nil {
				return werr
			}
			if ferr := flushed(flush, out); ferr != nil {
				return ferr
			}
			x.lastEvent, t.Events = ev.last, ev.n
		}
		if ev.rest() > eventMost {
			return errLongEvent
		}
		if err == io.EOF && ev.rest() > 0 {
			return io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// flushed sends what was written to the caller, if it was anything.
func flushed(flush *http.ResponseController, out []byte) error {
	if len(out) == 0 {
		return nil
	}
	if err := flush.Flush(); err != nil {
		return leftError{err}
	}
	return nil
}

// eventBuffer is the size of one read of a stream, in bytes; events of the
// users' runners have about a hundred.
const eventBuffer = 4 << 10
