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

// settingsPollInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings takes over the settings file when it changes. Listeners stay as
// they are until the process starts again.
func (r *Router) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	seen := modTime(r.file)
	for {
		select {
		case <-hup:
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

// modTime returns when a file was written; zero if that cannot be told.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again; wrong ones change nothing.
func (r *Router) reload(why string) {
	var s Settings
	if err := proc.Load(r.file, &s); err != nil {
		r.Log.Error("router: The settings are wrong; the old ones stay.", zap.String("why", why), logs.Err(err))
		return
	}
	s.fill()
	r.Engine.SetLimits(s.limits())
	r.Log.Info("router: The settings were read again.", zap.String("why", why), zap.Any("limits", s.limits()))
}
