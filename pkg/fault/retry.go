// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter caps the time that a Retry-After header may ask for. A longer time may be an error of
// the sender; after the cap, one request shows whether the sender still refuses.
const MaxRetryAfter = time.Hour

// ParseRetryAfter returns the time at which a refusal received at now allows a retry; text is the value
// of its Retry-After header, a number of seconds that may have a fraction. The result is zero if text is
// not a positive, finite number; the HTTP date form is not supported.
func ParseRetryAfter(text string, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)))
}
