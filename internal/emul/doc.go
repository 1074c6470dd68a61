// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package emul emulates model endpoints in simulated time and plays a load against
// them under several policies of placement and cascade, side by side. It makes no
// connection and reads no clock: a policy is judged in seconds, and the same seed
// gives the same figures everywhere.
//
// An endpoint works in steps. In each it reads a piece of the prompt at the front
// of its queue and makes one token for each run whose prompt was read, so a long
// prompt holds up every run beside it. It keeps parts of prompts that several
// requests share, for each model apart.
package emul
