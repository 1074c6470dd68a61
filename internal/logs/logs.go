// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package logs builds the process's logger: JSON lines of short sentences,
// each with the fixed prefix of its part.
package logs

import (
	"fmt"
	stdlog "log"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error at the given
// level; an empty or unknown one is info.
func New(level string) *zap.Logger {
	cfg := zap.NewProductionConfig()
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.Sampling = nil
	if l, err := zapcore.ParseLevel(level); err == nil && level != "" {
		cfg.Level.SetLevel(l)
	}
	l, err := cfg.Build()
	if err != nil {
		return zap.NewNop()
	}
	return l
}

// Library hands a library's own lines to the debug level of a logger, under
// the prefix of its part. The zero value drops them.
type Library struct {
	Log    *zap.Logger
	Prefix string
}

// Printf writes one line.
func (l Library) Printf(format string, args ...any) {
	if l.Log != nil {
		l.Log.Debug(l.Prefix + ": " + fmt.Sprintf(format, args...))
	}
}

// Err is the field for an error: its text alone, without a stack.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Standard returns a logger of the standard library whose lines go to the debug
// level of log, under the prefix of their part.
func Standard(log *zap.Logger, prefix string) *stdlog.Logger {
	return stdlog.New(lineWriter{Library{Log: log, Prefix: prefix}}, "", 0)
}

// lineWriter hands each write on as one line.
type lineWriter struct{ lib Library }

func (w lineWriter) Write(line []byte) (int, error) {
	w.lib.Printf("%s", strings.TrimSpace(string(line)))
	return len(line), nil
}
