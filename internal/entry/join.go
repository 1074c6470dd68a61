// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

const (
	// joinTimeout bounds the wait until another entry confirms that it has a run, and
	// pingTimeout the wait for each answer while it runs. They let a caller know within 8 s
	// that the entry of its run does not answer.
	joinTimeout = config.Span(2 * time.Second)
	pingTimeout = joinTimeout
	// pingInterval is the interval between pings to an entry that is followed.
	pingInterval = config.Span(time.Second)
)

// linkCache holds one link for each process that was dialled on demand: entries, and guards
// that are not among the peers.
type linkCache struct {
	mu sync.Mutex
	// byAddr holds the links by the address of the process.
	byAddr map[netip.AddrPort]*link.Conn
}

// get returns an open link to the process at addr, and dials it if there is none. It
// returns errOtherIncarnation if that is not the given incarnation; an empty incarnation
// allows any.
func (l *linkCache) get(ctx context.Context, local *link.Local, addr netip.AddrPort, incarnation string) (*link.Conn, error) {
	l.mu.Lock()
	c, ok := l.byAddr[addr]
	l.mu.Unlock()
	if ok && !tasks.IsDone(c.Done()) && (incarnation == "" || c.Peer.Incarnation == incarnation) {
		return c, nil
	}
	c, err := local.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if incarnation != "" && c.Peer.Incarnation != incarnation {
		c.Close()
		return nil, errOtherIncarnation
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddr == nil {
		l.byAddr = make(map[netip.AddrPort]*link.Conn)
	}
	if existing, ok := l.byAddr[addr]; ok && !tasks.IsDone(existing.Done()) && existing.Peer.Incarnation == c.Peer.Incarnation {
		c.Close()
		return existing, nil
	}
	l.byAddr[addr] = c
	return c, nil
}

// closeAll closes every link.
func (l *linkCache) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.byAddr {
		c.Close()
	}
}

// errOtherIncarnation reports that the process at an address was restarted.
var errOtherIncarnation = errors.New("entry: the process at the address has another incarnation")

// joinRemote makes r follow a run at another entry, which sends the answer in chunks as a
// guard does. r is not billed here. It returns nil once the other entry has confirmed that
// it has the run or the run has ended, and an error if the entry does not answer within
// joinTimeout. errClosed reports that the run did not run and never will.
func (e *Entry) joinRemote(r *request, j wire.Join, addr netip.AddrPort) *fault.Error {
	r.following = true
	r.record.Key = "joined " + j.Incarnation
	dial, cancel := context.WithDeadline(r.ctx, joinTimeout.After(time.Now()))
	defer cancel()
	c, err := e.linkCache.get(dial, e.Local, addr, j.Incarnation)
	if err != nil {
		return e.keyUnsettled("The entry that holds the key does not answer.")
	}
	r.followAttempts++
	j.Stamp = e.Stamp()
	j.StreamKey = wire.RunKey{RunID: r.id, Attempt: r.followAttempts}
	r.buf.SelectAttempt(r.followAttempts)
	e.sinks.add(j.StreamKey, r.buf)
	joined := make(chan *fault.Error, 1)
	if err := e.submit(func() { e.followRemote(r, c, j, joined) }); err != nil {
		e.sinks.remove(j.StreamKey)
		return err
	}
	return e.awaitJoin(r, joined)
}

// awaitJoin waits until the other entry has confirmed that it has the run or that the run
// is closed. claimKey can then claim the key of a closed run again, and a caller gets an
// error at once if the other entry does not respond.
func (e *Entry) awaitJoin(r *request, joined <-chan *fault.Error) *fault.Error {
	t := time.NewTimer(time.Until(joinTimeout.After(time.Now())))
	defer t.Stop()
	select {
	case err := <-joined:
		return err
	case <-r.buf.FirstChunk():
		return nil
	case <-t.C:
		return e.keyUnsettled("The entry that holds the key does not answer.")
	}
}

// followRemote calls the other entry and finishes r with the outcome of the run. It sends
// errClosed to joined if the run is closed, and nil otherwise.
func (e *Entry) followRemote(r *request, c *link.Conn, j wire.Join, joined chan<- *fault.Error) {
	defer e.sinks.remove(j.StreamKey)
	ctx, cancel := context.WithDeadline(e.kill, r.call.Deadline.Add(replyGrace))
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	var watch tasks.Group
	watch.Go(ctx, "alive", func(ctx context.Context) error { return e.pingRemote(ctx, c, giveUp) })
	var reply wire.RunReply
	err := c.Call(ctx, wire.MethodJoin, j, &reply)
	giveUp(nil)
	watch.Wait(nil)
	var f *fault.Error
	switch {
	case err != nil && !errors.As(err, &f):
		f = e.keyUnsettled("The entry that holds the key was lost.")
	case err == nil:
		f = reply.Err
	}
	if f != nil && f.Kind == errClosed.Kind && f.Run == fault.NotRun {
		joined <- errClosed
		return
	}
	e.finish(r, reply.Length, f)
	joined <- nil
}

// pingRemote pings an entry that is followed until ctx is done. An entry that is suspended
// or partitioned closes no connection, so a ping without an answer ends the wait: giveUp
// gets the error for the caller.
func (e *Entry) pingRemote(ctx context.Context, c *link.Conn, giveUp context.CancelCauseFunc) error {
	for {
		tasks.Pause(ctx, pingInterval.After(time.Now()))
		if ctx.Err() != nil {
			return nil
		}
		call, cancel := context.WithDeadline(ctx, pingTimeout.After(time.Now()))
		err := c.Call(call, wire.MethodPing, wire.Ping{Stamp: e.Stamp()}, &wire.Empty{})
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, link.ErrBroken) {
			e.Log.Warn("entry: The entry that holds a followed run did not answer a ping; the wait for its outcome ends.", zap.String("vm", c.Peer.VM), logs.Err(err))
			giveUp(e.keyUnsettled("The entry that holds the key has fallen silent."))
			return nil
		}
	}
}

// handlePing answers the ping of an entry that follows a run here.
func (e *Entry) handlePing(context.Context, *link.Conn, wire.Ping) (wire.Empty, error) {
	return wire.Empty{Stamp: e.Stamp()}, nil
}

// handleJoin serves another entry that received a repeat of a request by key, or the
// request of a ticket that only this entry may start. It sends the answer in chunks and
// returns the outcome.
func (e *Entry) handleJoin(ctx context.Context, c *link.Conn, j wire.Join) (wire.RunReply, error) {
	r, err := e.joinTarget(&j)
	if err != nil {
		return wire.RunReply{Stamp: e.Stamp(), Err: err}, nil
	}
	if err := c.Notify(ctx, wire.MethodChunk, wire.Chunk{Stamp: e.Stamp(), Key: j.StreamKey}); err != nil {
		return wire.RunReply{}, err
	}
	e.followers.Add(1)
	defer e.followers.Add(-1)
	link.SendAnswer(ctx, c, j.StreamKey, r.buf, 0)
	select {
	case <-r.done:
	case <-c.Done():
		return wire.RunReply{}, fault.EndpointLost
	}
	return wire.RunReply{Stamp: e.Stamp(), Length: r.buf.Len(), Err: r.buf.Ended().Err}, nil
}

// joinTarget returns the request to follow. It starts the request of a ticket.
func (e *Entry) joinTarget(j *wire.Join) (*request, *fault.Error) {
	if j.Incarnation != e.Identity.Incarnation {
		return nil, e.keyUnsettled("The entry that holds the key was restarted.")
	}
	if j.Start == nil {
		return e.joinLocal(j.RunID, j.BodyHash)
	}
	t, err := e.openTicket(j.Start.Workspace, j.Key)
	if err != nil {
		return nil, err
	}
	return e.startTicket(*j.Start, j.Key, &t)
}
