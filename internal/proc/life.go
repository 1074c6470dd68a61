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
	// Kill is done once the timeout of the planned stop has passed or a second signal
	// has arrived: the process ends at once.
	Kill context.Context
}

// Signaled is the cause of a stage that a signal ended.
type Signaled struct {
	Signal os.Signal
	// At is when the signal was handled.
	At time.Time
}

// Error returns the name of the signal.
func (s Signaled) Error() string { return "signal: " + s.Signal.String() }

// ErrStopTimeout is the cause of Stages.Kill if the timeout of the planned stop has passed.
const ErrStopTimeout = fault.Const("the time for the stop has passed")

// Signals returns stages that SIGTERM and SIGINT control: the first signal ends Stop, and
// a second one or the timeout of the planned stop ends Kill. Both also end with ctx.
// release stops the handling of the signals, ends both stages and waits for the goroutine
// behind them.
func (c *Common) Signals(ctx context.Context) (s Stages, release func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, stopNow := context.WithCancelCause(ctx)
	kill, killNow := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var first Signaled
		select {
		case sig := <-signals:
			first = Signaled{Signal: sig, At: time.Now()}
		case <-kill.Done():
			return
		}
		deadline := first.At.Add(defaultStopTimeout)
		if c.StopWithin > 0 {
			deadline = c.StopWithin.After(first.At)
		}
		stopNow(first)
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		select {
		case sig := <-signals:
			killNow(Signaled{Signal: sig, At: time.Now()})
		case <-timer.C:
			killNow(ErrStopTimeout)
		case <-kill.Done():
		}
	}()
	return Stages{Stop: stop, Kill: kill}, func() {
		signal.Stop(signals)
		stopNow(nil)
		killNow(nil)
		<-ended
	}
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
