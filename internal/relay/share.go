// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

import "time"

// overShare reports whether the request exceeds the share of its workspace, so that it is served after
// the requests of all others. The caller must hold the engine's mu.
func (x *run) overShare(_ time.Time) bool { return false }
