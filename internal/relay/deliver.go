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

// deliver passes an answer on to the caller. It reports whether another attempt follows because the
// answer ended early and may be repeated or resumed.
func (x *run) deliver(ctx context.Context, a *Attempt, t *attemptRecord, reply *Reply, s *silenceTimer) (next bool) {
	var deliverErr error
	began := x.e.Now()
	if x.route.Kind == Stream && reply.Status < 300 {
		deliverErr = x.deliverStream(ctx, a, reply, t, s)
	} else {
		deliverErr = x.deliverWhole(ctx, a, reply, t, s)
	}
	if deliverErr == nil {
		x.setReset(false)
		t.Outcome = outcomeDelivered
		x.e.recordStreamTime(x.route, x.e.Now().Sub(began))
		x.e.addCompletion(a)
		x.e.recordCompleted(a, reply)
		x.learnEnd(nil, false)
		x.log(x.e.Now(), reply.Status, nil)
		return false
	}
	x.learnEnd(deliverErr, isCallerGone(deliverErr) || isCut(ctx))
	if errors.Is(deliverErr, errMoved) {
		t.Outcome = outcomeMoved
		x.e.mu.Lock()
		x.recordLeft(t, leftSlow, x.e.Now())
		x.e.mu.Unlock()
		return true
	}
	if _, stopped := stopReason(ctx); stopped && isCallerGone(deliverErr) {
		t.Outcome = "failed"
		x.fail(ctx, x.abandonReason(ctx, fault.MayHaveRun))
		return false
	}
	if errors.Is(deliverErr, errEndUnannounced) {
		return x.resumeUnannounced(ctx, a, t, reply)
	}
	if isCallerGone(deliverErr) {
		t.Outcome = "caller left"
		x.log(x.e.Now(), reply.Status, fault.New(fault.CallerGone, fault.MayHaveRun, "The caller has left."))
		return false
	}
	return x.handleFailure(ctx, a, t, fault.New(fault.EndpointLost, fault.MayHaveRun, "The answer broke off.").WithCause(deliverErr))
}

// resumeUnannounced handles a rest of a stream that was read to an end that the caller can not be told. The endpoint has
// done its work, but only another one may announce the end. It reports whether another attempt follows.
func (x *run) resumeUnannounced(ctx context.Context, a *Attempt, t *attemptRecord, reply *Reply) (next bool) {
	t.Outcome = "end not announced"
	x.mayHaveRun = true
	x.e.recordCompleted(a, reply)
	t.Err = fault.New(fault.EndpointFailed, fault.Ran, "The rest of the stream has no announced end.").WithCause(errEndUnannounced)
	if x.retry(ctx, t.Err) {
		return true
	}
	x.fail(ctx, t.Err)
	return false
}

// setReset sets whether the caller's connection ends with a reset. Until an answer that ends with its connection is
// whole, and written, it does: the caller would take any other end for that of the answer.
func (x *run) setReset(on bool) {
	if x.told != endConnection || x.r.SetReset == nil {
		return
	}
	if !on {
		// After an error the caller has left.
		_ = http.NewResponseController(x.w).Flush()
	}
	x.r.SetReset(on)
}

// callerGoneError is an error of writing to the caller.
type callerGoneError struct{ error }

func isCallerGone(err error) bool {
	_, ok := err.(callerGoneError)
	return ok
}

// sendHead sends the head of an answer to the caller. length is that of the body in bytes, or -1. The head announces no
// end that the endpoint has not announced.
func (x *run) sendHead(reply *Reply, length int64) {
	h := x.w.Header()
	maps.Copy(h, reply.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	h.Del("Content-Length")
	switch {
	case reply.Unframed:
		x.told = endConnection
		h.Set("Transfer-Encoding", "identity") // keeps net/http from adding a length or chunks
	case length >= 0:
		x.told = endLength
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case x.r.NoChunks:
		x.told = endConnection
	default:
		x.told = endLastChunk
	}
	x.status = reply.Status
	x.setReset(true)
	x.closeWhenNeeded()
	x.active.setStage(StageAnswering)
	x.headSent, x.headAt = true, x.e.Now()
	x.w.WriteHeader(reply.Status)
}

// maxBuffered is the size, in bytes, below which an answer is read whole before its head is sent,
// so that the request can be repeated if the answer ends early.
const maxBuffered = 256 << 10

// MaxAnswerBytes is the maximum size of the answer to one attempt, in bytes. A longer one is broken off: an endpoint in
// trouble may send bytes without end.
const MaxAnswerBytes = 64 << 20

// errLongAnswer ends an answer of more than MaxAnswerBytes.
var errLongAnswer = errors.New("relay: the answer is too long")

// firstBuffered is the size of the first buffer for an answer of unknown length, in bytes.
const firstBuffered = 4 << 10

// readStart reads up to maxBuffered bytes of an answer, or fewer if the caller may not hold that much memory. whole
// says that these are all. heldBytes is what the caller holds for them.
func (x *run) readStart(reply *Reply) (start []byte, whole bool, heldBytes int, err error) {
	size := firstBuffered
	if reply.Length >= 0 {
		size = int(min(reply.Length+1, maxBuffered))
	}
	for x.r.Grant == nil || x.r.Grant(size) {
		start = append(make([]byte, 0, size), start...)
		x.giveBack(heldBytes)
		heldBytes = size
		for len(start) < size {
			n, err := reply.Body.Read(start[len(start):size])
			start = start[:len(start)+n]
			if err != nil {
				return start, err == io.EOF, heldBytes, eofIsNil(err)
			}
		}
		if size == maxBuffered {
			break
		}
		size = min(4*size, maxBuffered)
	}
	return start, false, heldBytes, nil
}

func eofIsNil(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// giveBack gives back n bytes of the memory that the caller holds.
func (x *run) giveBack(n int) {
	if x.r.Return != nil {
		x.r.Return(n)
	}
}

// deliverWhole passes on an answer that is not a stream.
func (x *run) deliverWhole(ctx context.Context, a *Attempt, reply *Reply, t *attemptRecord, s *silenceTimer) error {
	if reply.Length > MaxAnswerBytes {
		return errLongAnswer
	}
	body, whole, heldBytes, err := x.readStart(reply)
	defer x.giveBack(heldBytes)
	t.Received = len(body)
	if err != nil {
		t.BodyEnd = bodyEndOf(reply, err)
		return err
	}
	s.stop()
	if whole {
		t.BodyEnd = bodyEndOf(reply, nil)
		if err := x.confirmEnd(ctx, a, reply, t); err != nil {
			return err
		}
		x.sendHead(reply, int64(len(body)))
		return x.write(body)
	}
	x.sendHead(reply, reply.Length)
	if err := x.write(body); err != nil {
		return err
	}
	rest := io.LimitReader(reply.Body, int64(MaxAnswerBytes-len(body)+1))
	n, err := io.CopyBuffer(callerWriter{x}, struct{ io.Reader }{rest}, make([]byte, copyBufferSize))
	t.Received += int(n)
	if err == nil && t.Received > MaxAnswerBytes {
		return errLongAnswer
	}
	t.BodyEnd = bodyEndOf(reply, err)
	if err != nil {
		return err
	}
	return x.confirmEnd(ctx, a, reply, t)
}

// callerWriter writes to the caller and returns a callerGoneError on failure.
type callerWriter struct{ x *run }

// Write implements io.Writer.
func (w callerWriter) Write(b []byte) (int, error) {
	if err := w.x.write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// copyBufferSize is the size of the buffer that copies answers to the caller, in bytes.
const copyBufferSize = 16 << 10

func (x *run) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := x.w.Write(b); err != nil {
		return callerGoneError{err}
	}
	return nil
}

// errLongEvent ends a stream with an event of more than maxEventSize bytes.
var errLongEvent = errors.New("relay: an event is too long")

// errNoEventID ends a resumed stream with an event that has no ID, so that the caller may have it already.
var errNoEventID = errors.New("relay: an event of a resumed stream has no ID")

// deliverStream passes on each event of a stream once it is complete. The head goes with the first events: without any
// the request can still be repeated, or answered with an error.
func (x *run) deliverStream(ctx context.Context, a *Attempt, reply *Reply, t *attemptRecord, s *silenceTimer) error {
	flush := http.NewResponseController(x.w)
	ev := eventSplitter{lastID: x.lastEvent, resumed: x.headSent}
	buf := make([]byte, eventBufferSize)
	lastRead := x.e.Now()
	var p pace
	before := x.passed
	w := x.newEndWatch(a, t)
	for {
		n, err := x.readWatched(a, reply.Body, buf)
		if n > 0 {
			now := x.e.Now()
			if p.add(now.Sub(lastRead)) {
				x.e.addPaceEvidence(a, &p)
				w.recordShortest(&p)
				t.Pace, t.CountedAs = p.minGap, a.countedAs
			}
			t.PauseMillis = max(t.PauseMillis, now.Sub(lastRead).Milliseconds())
			lastRead = now
			t.Received += n
			s.eventReceived()
			if werr := x.writeEvents(reply, flush, ev.split(buf[:n])); werr != nil {
				return werr
			}
			x.lastEvent, t.Events, x.passed = ev.lastID, ev.count, before+ev.count
			x.progress.hear(now, ev.count, x.canResume())
			t.FirstEvent, t.LastEvent = ev.firstID, ev.lastID
			if w.add(now, ev.count, err == nil) {
				return errMoved
			}
			x.e.awaitNext(a)
		}
		if err := ev.check(t.Received); err != nil {
			return err
		}
		if err == nil {
			continue
		}
		t.BodyEnd = bodyEndOf(reply, err)
		if err := streamError(err, ev.pendingBytes()); err != nil {
			return err
		}
		s.stop()
		return x.endStream(ctx, a, reply, t)
	}
}

// endStream handles the end of a stream whose last event is complete.
func (x *run) endStream(ctx context.Context, a *Attempt, reply *Reply, t *attemptRecord) error {
	if err := x.confirmEnd(ctx, a, reply, t); err != nil {
		return err
	}
	if !x.headSent {
		x.sendHead(reply, -1)
	}
	return nil
}

// check returns what is wrong with the events after received bytes in all; nil if nothing is.
func (s *eventSplitter) check(received int) error {
	switch {
	case s.lacksID:
		return errNoEventID
	case s.pendingBytes() > maxEventSize:
		return errLongEvent
	case received > MaxAnswerBytes:
		return errLongAnswer
	default:
		return nil
	}
}

// streamError returns what is wrong with a stream whose last read returned err and which ended with so many bytes
// of an incomplete event; nil if it is complete.
func streamError(err error, pending int) error {
	switch {
	case err != io.EOF:
		return err
	case pending > 0:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}

// writeEvents writes complete events to the caller, the first ones after the head of reply, and flushes its
// connection, if there are any.
func (x *run) writeEvents(reply *Reply, flush *http.ResponseController, out []byte) error {
	if len(out) == 0 {
		return nil
	}
	if !x.headSent {
		x.sendHead(reply, -1)
	}
	if err := x.write(out); err != nil {
		return err
	}
	if err := flush.Flush(); err != nil {
		return callerGoneError{err}
	}
	return nil
}

// eventBufferSize is the size of one read of a stream, in bytes. Events usually have about a
// hundred.
const eventBufferSize = 4 << 10
