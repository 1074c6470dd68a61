// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"context"

	"github.com/traildrift/traildrift/internal/proc"
)

// Main runs an entry with the process settings in file until SIGTERM or SIGINT. It returns
// nil after a planned stop that interrupted no request.
func Main(ctx context.Context, file string) error {
	var s Settings
	return proc.Main(ctx, file, &s, &s.Common, func() (proc.Runner, error) { return New(s) })
}
