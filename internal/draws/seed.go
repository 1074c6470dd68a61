// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package draws fixes the random seed of property tests, so that every run of them
// checks the same cases.
package draws

import (
	"flag"
	"fmt"
)

// seed is the seed of every property test unless -rapid.seed sets another: m.Run
// parses the command line after FixSeed.
const seed = "20261202"

// FixSeed sets the seed and prints it, and turns off the files in which rapid keeps
// failed cases. TestMain must call it before m.Run. It panics if the test binary
// does not import rapid.
func FixSeed() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("draws: cannot set the flag rapid.seed: the test binary does not import rapid: " + err.Error())
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("draws: cannot set the flag rapid.nofailfile: " + err.Error())
	}
	fmt.Println("rapid seed", seed)
}
