// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"encoding/json"
	"time"
)

// Span is a duration that is written as text in settings and JSON, such as
// "30s". Spans are for settings and constants; state holds the deadlines that
// After computes from them.
type Span time.Duration

// After returns the time that is s after now.
func (s Span) After(now time.Time) time.Time { return now.Add(time.Duration(s)) }

// String returns s in the form of time.Duration.String.
func (s Span) String() string { return time.Duration(s).String() }

// MarshalText encodes s as String does.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes what time.ParseDuration accepts and returns ErrSpan for
// anything else.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return ErrSpan
	}
	*s = Span(d)
	return nil
}

// MarshalJSON encodes s as a JSON string.
func (s Span) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }
