// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package logs creates the loggers of a process. They write JSON lines, whose
// messages are short sentences with the fixed prefix of the component.
package logs

import (
	"fmt"
	stdlog "log"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error from the given
// level up. An empty or unknown level means info.
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

// LibraryLogger writes the messages of a library to a logger at debug level. The
// zero value discards them.
type LibraryLogger struct {
	Log *zap.Logger
	// Prefix is the name of the component that uses the library. It precedes
	// each message.
	Prefix string
}

// Printf logs one formatted message.
func (l LibraryLogger) Printf(format string, args ...any) {
	if l.Log != nil {
		l.Log.Debug(l.Prefix + ": " + fmt.Sprintf(format, args...))
	}
}

// Err returns the log field "error" with the text of err, without a stack trace,
// or no field if err is nil.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// NewStdLog returns a logger of the standard library that writes to log at debug
// level, with the prefix of the component.
func NewStdLog(log *zap.Logger, prefix string) *stdlog.Logger {
	return stdlog.New(lineWriter{LibraryLogger{Log: log, Prefix: prefix}}, "", 0)
}

// lineWriter logs each write as one message, without surrounding white space.
type lineWriter struct{ lib LibraryLogger }

func (w lineWriter) Write(line []byte) (int, error) {
	w.lib.Printf("%s", strings.TrimSpace(string(line)))
	return len(line), nil
}
