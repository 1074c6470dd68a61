// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package fakes provides small fakes of the systems that traildrift connects to: the
// platform's object API and VM list (Objects), a model engine (Engine), the store that engines
// fetch weights from (WeightStore) and a plain service (Plain). They are for tests, the demo and
// measurements only.
//
// Objects, Engine and Plain implement the protocols of docs/PLATFORM.md over HTTP and are served
// by Serve. Each injects the Faults that it is given by Set or by POST /faults, with its seeded
// random source, and counts its calls or runs. The fakes are safe for concurrent use.
package fakes
