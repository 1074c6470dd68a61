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
	// joinWithin is how long another entry may take to say that it has a run, and
	// aliveWithin how long it may take later to say that it still runs: a caller
	// should hear at once, which is within 8 s, that its run's entry is silent.
	joinWithin  = config.Span(2 * time.Second)
	aliveWithin = joinWithin
	// aliveEvery is how often an entry that is followed is asked.
	aliveEvery = config.Span(time.Second)
)

// entryLinks keeps one link to each process that was spoken to on demand:
// entries, and guards that are not among the peers.
type entryLinks struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*link.Conn
}

// to returns an open link to the incarnation at addr; an empty incarnation
// means any.
func (l *entryLinks) to(ctx context.Context, local *link.Local, addr netip.AddrPort, incarnation string) (*link.Conn, error) {
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
	if first, ok := l.byAddr[addr]; ok && !tasks.IsDone(first.Done()) && first.Peer.Incarnation == c.Peer.Incarnation {
		c.Close()
		return first, nil
	}
	l.byAddr[addr] = c
	return c, nil
}

// closeAll ends every link.
func (l *entryLinks) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.byAddr {
		c.Close()
	}
}

// errOtherIncarnation says that the process at an address was restarted.
var errOtherIncarnation = errors.New("entry: another incarnation answers")

// joinRemote makes r follow a run at another entry, whose answer comes in chunks
// as from a guard. r is then a stand-in, which is not billed. It returns once
// the other entry has the run, or is silent for too long; errClosed says that
// the run did not and will not run.
func (e *Entry) joinRemote(r *request, j wire.Join, addr netip.AddrPort) *fault.Error {
	r.joined = true
	r.record.Key = "joined " + j.Incarnation
	dial, cancel := context.WithDeadline(r.ctx, joinWithin.After(time.Now()))
	defer cancel()
	c, err := e.entryLinks.to(dial, e.Local, addr, j.Incarnation)
	if err != nil {
		return e.unsettled("The entry that holds the key does not answer.")
	}
	r.joins++
	j.Stamp = e.Stamp()
	j.StreamKey = wire.RunKey{RunID: r.id, Attempt: r.joins}
	r.buf.SelectAttempt(r.joins)
	e.sinks.add(j.StreamKey, r.buf)
	first := make(chan *fault.Error, 1)
	if err := e.submit(func() { e.followRemote(r, c, j, first) }); err != nil {
		e.sinks.remove(j.StreamKey)
		return err
	}
	return e.awaitFirst(r, first)
}

// awaitFirst waits until the other entry has the run, so that a closed one can
// be claimed again and a silent entry is answered for at once.
func (e *Entry) awaitFirst(r *request, first <-chan *fault.Error) *fault.Error {
	t := time.NewTimer(time.Until(joinWithin.After(time.Now())))
	defer t.Stop()
	select {
	case err := <-first:
		return err
	case <-r.buf.FirstChunk():
		return nil
	case <-t.C:
		return e.unsettled("The entry that holds the key does not answer.")
	}
}

// followRemote makes the call and finishes the stand-in with its outcome.
func (e *Entry) followRemote(r *request, c *link.Conn, j wire.Join, first chan<- *fault.Error) {
	defer e.sinks.remove(j.StreamKey)
	ctx, cancel := context.WithDeadline(e.kill, r.call.Deadline.Add(replyGrace))
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	var watch tasks.Group
	watch.Go(ctx, "alive", func(ctx context.Context) error { return e.watchRemote(ctx, c, giveUp) })
	var reply wire.RunReply
	err := c.Call(ctx, wire.MethodJoin, j, &reply)
	giveUp(nil)
	watch.Wait(nil)
	var f *fault.Error
	switch {
	case err != nil && !errors.As(err, &f):
		f = e.unsettled("The entry that holds the key was lost.")
	case err == nil:
		f = reply.Err
	}
	if f != nil && f.Kind == errClosed.Kind && f.Run == fault.NotRun {
		first <- errClosed
		return
	}
	e.finish(r, reply.Length, f)
	first <- nil
}

// watchRemote asks an entry that is followed whether it still answers, until ctx is
// done. One that is frozen or cut off says nothing and ends no connection, so its
// silence ends the wait with an error that tells the caller.
func (e *Entry) watchRemote(ctx context.Context, c *link.Conn, giveUp context.CancelCauseFunc) error {
	for {
		tasks.Pause(ctx, aliveEvery.After(time.Now()))
		if ctx.Err() != nil {
			return nil
		}
		call, cancel := context.WithDeadline(ctx, aliveWithin.After(time.Now()))
		err := c.Call(call, wire.MethodPing, wire.Ping{Stamp: e.Stamp()}, &wire.Empty{})
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, link.ErrBroken) {
			e.Log.Warn("entry: An entry that is followed has fallen silent.", zap.String("vm", c.Peer.VM), logs.Err(err))
			giveUp(e.unsettled("The entry that holds the key has fallen silent."))
			return nil
		}
	}
}

// handleAlive answers an entry that asks whether this one still runs.
func (e *Entry) handleAlive(context.Context, *link.Conn, wire.Ping) (wire.Empty, error) {
	return wire.Empty{Stamp: e.Stamp()}, nil
}

// handleJoin answers another entry that holds a caller's repeat, or brings the
// request of a ticket that only this entry may start.
func (e *Entry) handleJoin(ctx context.Context, c *link.Conn, j wire.Join) (wire.RunReply, error) {
	r, err := e.joined(&j)
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

func (e *Entry) joined(j *wire.Join) (*request, *fault.Error) {
	if j.Incarnation != e.Identity.Incarnation {
		return nil, e.unsettled("The entry that holds the key was restarted.")
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
