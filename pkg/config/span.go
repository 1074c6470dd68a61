// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"encoding/json"
	"time"
)

// Span is a length of time as an operator writes it, such as "30s". State
// never holds a Span: it becomes a deadline when it is taken over.
type Span time.Duration

// After returns the deadline that lies s after now.
func (s Span) After(now time.Time) time.Time { return now.Add(time.Duration(s)) }

// String returns s as an operator writes it.
func (s Span) String() string { return time.Duration(s).String() }

// MarshalText writes s as an operator writes it.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what an operator wrote.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return ErrSpan
	}
	*s = Span(d)
	return nil
}

// MarshalJSON writes s as a JSON string.
func (s Span) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }
