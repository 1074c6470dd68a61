// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package soak

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/pkg/config"
)

func TestMain(m *testing.M) {
	rig.Main()
	os.Exit(m.Run())
}

// TestShort runs short soak tests with fixed seeds.
func TestShort(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			err := Run(t.Context(), Options{Seed: seed, Duration: config.Span(8 * time.Second), Callers: 8, Dir: t.TempDir(), Out: os.Stdout})
			if err != nil {
				t.Error(err)
			}
		})
	}
}
