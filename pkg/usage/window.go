// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package usage

import (
	"time"

	"github.com/traildrift/traildrift/pkg/config"
)

// Window is the number of a window, an interval of true time of a fixed length: window k begins k
// lengths after the start of 1970 (UTC).
type Window int64

// Clock divides true time into windows of one length.
type Clock struct {
	// Length is the length of a window. It must be positive.
	Length config.Span
}

// At returns the window that contains t. The start of a window belongs to it, its end does not.
func (c Clock) At(t time.Time) Window {
	n, length := t.UnixNano(), int64(c.Length)
	k := n / length
	if n%length < 0 {
		k--
	}
	return Window(k)
}

// End returns the end of a window, which is the start of the next one.
func (c Clock) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(c.Length)) }
