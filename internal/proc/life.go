// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package proc

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// defaultStopTimeout is the timeout of a planned stop if stopWithin is not set.
const defaultStopTimeout = 60 * time.Second

// Stages holds the two contexts that end a process.
type Stages struct {
	// Stop is done once a planned stop is requested: the process accepts no new work
	// and completes what is in progress.
	Stop context.Context
	// Kill is done once the timeout of the planned stop has passed or a second signal
	// has arrived: the process ends at once.
	Kill context.Context
}

// Signals returns stages that SIGTERM and SIGINT control: the first signal ends Stop, and
// a second one or the timeout of the planned stop ends Kill. Both also end with ctx.
// release stops the handling of the signals, ends both stages and waits for the goroutine
// behind them.
func (c *Common) Signals(ctx context.Context) (s Stages, release func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, stopNow := context.WithCancel(ctx)
	kill, killNow := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-signals:
		case <-kill.Done():
			return
		}
		deadline := time.Now().Add(defaultStopTimeout)
		if c.StopWithin > 0 {
			deadline = c.StopWithin.After(time.Now())
		}
		stopNow()
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		select {
		case <-signals:
		case <-timer.C:
		case <-kill.Done():
		}
		killNow()
	}()
	return Stages{Stop: stop, Kill: kill}, func() {
		signal.Stop(signals)
		stopNow()
		killNow()
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
