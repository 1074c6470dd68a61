// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package finish estimates when a streamed answer ends, and the probability that it does not end in time.
//
// The time from the first event of an answer to the last is the number of events after the first times the
// mean time between two events. Both are taken as log-normal. All times are in seconds and all logarithms
// natural.
//
//   - Lengths learns the number of events of a route's answers from the callers' hints.
//   - Gaps learns the time between events at the endpoints of a service: the shortest times, which grow with
//     the number of concurrent runs, and the slowdown by the prompts that an endpoint reads between steps.
//   - Recent holds what streams at one endpoint showed in the last seconds.
//   - Calibration learns how far estimates of a route are off.
//   - End combines these for one request.
//
// The package reads no clock, takes no lock and draws no random numbers: the time is an argument, and the
// caller serializes access. Each type has a fixed size; its zero value has no data and is ready to use.
// Estimates without data are reported as such, and no result is NaN. Values that are not finite or out of
// range are ignored where they are added.
package finish
