// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package emul is a discrete-event simulation of model endpoints. It compares policies of
// placement and of the model cascade under the same generated load. It opens no connection
// and reads no clock: a policy is evaluated in seconds, and the same seed gives the same
// figures on every machine.
//
// An endpoint works in steps. In each step it reads one chunk of the first prompt in its
// queue and generates one token for each run whose prompt has been read, so a long prompt
// delays all concurrent runs. It caches parts of prompts that several requests share,
// separately for each model.
//
// An Experiment, read from a YAML file, describes the endpoints (Engine), the models of the
// cascade (Model), the classes of requests (Class) and the policies to compare (Policy).
// Simulate runs one policy with one seed and returns a Result; WriteTable runs all policies
// with all seeds.
package emul
