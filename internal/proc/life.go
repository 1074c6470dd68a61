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

// defaultStopTimeout is how long a planned stop may take without a setting.
const defaultStopTimeout = 60 * time.Second

// Stages are the two steps of a process's end.
type Stages struct {
	// Stop is done when a planned stop was asked for.
	Stop context.Context
	// Kill is done when the stop deadline has passed or a second signal
	// came.
	Kill context.Context
}

// Signals returns the stages that SIGTERM and SIGINT drive. release frees the
// signals again.
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
	// Run returns nil after a planned stop that cut off nothing.
	Run(s Stages) error
}

// Main reads the process settings of a file into s, whose shared part is
// common, builds the process and runs it until a signal ends it.
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
