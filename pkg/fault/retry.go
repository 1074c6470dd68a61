// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fault

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// RetryMost bounds the time for which a refusal may keep its sender away: after that one request finds
// out whether so long was meant.
const RetryMost = time.Hour

// RetryAt returns when a refusal that came at now asks to come back, by the text of its Retry-After in
// seconds, fractions too; zero for a text that asks for nothing or is no such number.
func RetryAt(text string, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, RetryMost.Seconds()) * float64(time.Second)))
}
