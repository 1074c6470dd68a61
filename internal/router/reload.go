// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/internal/proc"
)

// settingsPollInterval is the interval at which the modification time of the settings file is
// checked, as the file may change without a signal.
const settingsPollInterval = 2 * time.Second

// notifyReloads returns a channel that receives SIGHUP until the process ends: its default action would end the process
// without a planned stop.
func notifyReloads() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}

// watchSettings reloads the settings file when it changes and on SIGHUP, until ctx is done. Changes
// of the listeners take effect only when the process restarts.
func (r *Router) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	seen := modTime(r.file)
	for {
		select {
		case <-r.reloads:
			seen = modTime(r.file)
			r.reload("signal")
		case <-t.C:
			if now := modTime(r.file); !now.Equal(seen) {
				seen = now
				r.reload("file")
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// modTime returns the modification time of a file; the zero time if it cannot be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and puts its limits in force. It ignores an invalid file. why is the
// cause of the reload, for the log.
func (r *Router) reload(why string) {
	var s Settings
	if err := proc.Load(r.file, &s); err != nil {
		r.Log.Error("router: The settings file is invalid; the previous settings stay in force.", zap.String("why", why), logs.Err(err))
		return
	}
	s.setDefaults()
	limits := s.limits(r.wire.ContentionRule)
	r.Engine.SetLimits(limits)
	r.Log.Info("router: The settings were read again.", zap.String("why", why), zap.Any("limits", limits))
}
