// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"context"
	"fmt"
	"os"

	"github.com/traildrift/traildrift/internal/entry"
	"github.com/traildrift/traildrift/internal/guard"
	"github.com/traildrift/traildrift/internal/store"
)

// Environment variables that make a program of the rig's caller become a
// process of the fleet.
const (
	envRole = "TRAILDRIFT_RIG_ROLE"
	envFile = "TRAILDRIFT_RIG_FILE"
)

// Main runs the process that the environment asks for and exits; it returns
// at once where it asks for none. Programs that start fleets call it first.
func Main() {
	role := os.Getenv(envRole)
	if role == "" {
		return
	}
	if err := runRole(role, os.Getenv(envFile)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runRole(role, file string) error {
	ctx := context.Background()
	if role == store.RoleEntry {
		return entry.Main(ctx, file)
	}
	return guard.Main(ctx, file)
}
