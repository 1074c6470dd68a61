// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package clock makes up for two limits of a VM's clocks. A StallDetector detects that the process
// did not run, as it was frozen or as the VM was suspended; the monotonic clock does not advance
// during a suspension. A MedianClock estimates the true time from the clocks of many VMs, as the
// wall clock of one VM may have been stepped.
package clock
