// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that every run draws the same cases. To draw others: go test
// -rapid.seed N -rapid.checks 200000 ./pkg/poison
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
