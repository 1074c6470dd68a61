// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package proc

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/traildrift/traildrift/pkg/fault"
)

// defaultStopTimeout is the timeout of a planned stop if stopWithin is not set.
const defaultStopTimeout = 60 * time.Second

// Stages holds the two contexts that end a process. Their causes are of type Signaled, or
// ErrStopTimeout.
type Stages struct {
	// Stop is done once a planned stop is requested: the process accepts no new work
	// and completes what is in progress.
	Stop context.Context
	// Kill is done once the timeout of the planned stop has passed, or at a second SIGINT
	// after a first one: the process ends at once.
	Kill context.Context
	// Later receives the signals after the first one that do not change the stop. It is nil
	// for stages without signals.
	Later <-chan Signaled
}

// Signaled is the cause of a stage that a signal ended.
type Signaled struct {
	Signal os.Signal
	// At is when the signal was handled, or when the process was last known to run if it
	// stood still before: the signal may have been sent since then.
	At time.Time
}

// Error returns the name of the signal.
func (s Signaled) Error() string { return "signal: " + s.Signal.String() }

// ErrStopTimeout is the cause of Stages.Kill if the timeout of the planned stop has passed.
const ErrStopTimeout = fault.Const("the time for the stop has passed")

// maxLaterSignals is the capacity of Stages.Later; further signals are dropped.
const maxLaterSignals = 16

// Signals returns stages that SIGTERM and SIGINT control. The first signal ends Stop, and the
// timeout of the planned stop, counted from that signal, ends Kill. A supervisor may repeat its
// signal, so that later ones change nothing, but for a second SIGINT after a first one: that
// is how a terminal ends a process at once. Both stages also end with ctx. release ends both
// and waits for the goroutine behind them. The signals stay handled until the process ends:
// their default action would end it before its last log lines are written.
func (c *Common) Signals(ctx context.Context) (s Stages, release func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, stopNow := context.WithCancelCause(ctx)
	kill, killNow := context.WithCancelCause(ctx)
	later := make(chan Signaled, maxLaterSignals)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		first, ok := awaitSignal(kill, signals)
		if !ok {
			return
		}
		deadline := first.At.Add(defaultStopTimeout)
		if c.StopWithin > 0 {
			deadline = c.StopWithin.After(first.At)
		}
		stopNow(first)
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		for kill.Err() == nil {
			select {
			case sig := <-signals:
				next := Signaled{Signal: sig, At: time.Now()}
				if sig == syscall.SIGINT && first.Signal == syscall.SIGINT {
					killNow(next)
					return
				}
				select {
				case later <- next:
				default:
				}
			case <-timer.C:
				killNow(ErrStopTimeout)
			case <-kill.Done():
			}
		}
	}()
	return Stages{Stop: stop, Kill: kill, Later: later}, func() {
		stopNow(nil)
		killNow(nil)
		<-ended
	}
}

// stallCheckInterval is the interval at which a process notes that it runs, to know since when a
// signal may have been pending.
const stallCheckInterval = 100 * time.Millisecond

// awaitSignal returns the next signal; ok is false if ctx is done before.
func awaitSignal(ctx context.Context, signals <-chan os.Signal) (s Signaled, ok bool) {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	watch := stallWatch{ranAt: time.Now()}
	for {
		select {
		case sig := <-signals:
			return Signaled{Signal: sig, At: watch.pendingSince(time.Now())}, true
		case <-t.C:
			watch.run(time.Now())
		case <-ctx.Done():
			return s, false
		}
	}
}

// stallWatch tells since when a signal may have been pending that is handled now.
type stallWatch struct {
	// ranAt is when the process was last known to run. stalledAt and resumedAt are the begin
	// and the end of the last time for which it stood still; zero for none.
	ranAt, stalledAt, resumedAt time.Time
}

// run notes that the process runs at now.
func (w *stallWatch) run(now time.Time) {
	if now.Sub(w.ranAt) > 2*stallCheckInterval {
		w.stalledAt, w.resumedAt = w.ranAt, now
	}
	w.ranAt = now
}

// pendingSince returns the earliest time at which a signal may have been sent that is handled at now.
func (w *stallWatch) pendingSince(now time.Time) time.Time {
	w.run(now)
	if !w.stalledAt.IsZero() && now.Sub(w.resumedAt) < stallCheckInterval {
		return w.stalledAt
	}
	return now
}

// Runner is a process that serves until its stages end it.
type Runner interface {
	// Run returns nil after a planned stop in which all work in progress was completed,
	// and an error otherwise.
	Run(s Stages) error
}

// Main loads the process settings file into s, builds the process and runs it until a
// signal ends it. common is the part of s that entries and guards share. The error is
// config.Problems if the file is not valid, otherwise that of build or of the process.
func Main(ctx context.Context, file string, s Checker, common *Common, build func() (Runner, error)) error {
	if err := Load(file, s); err != nil {
		return err
	}
	stages, release := common.Signals(ctx)
	defer release()
	r, err := build()
	if err != nil {
		return err
	}
	return r.Run(stages)
}
