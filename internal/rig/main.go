// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/pprof"
	"time"

	"github.com/traildrift/traildrift/internal/entry"
	"github.com/traildrift/traildrift/internal/guard"
	"github.com/traildrift/traildrift/internal/store"
)

// Environment variables that make a program of the rig's caller become a
// process of the fleet.
const (
	envRole = "TRAILDRIFT_RIG_ROLE"
	envFile = "TRAILDRIFT_RIG_FILE"
	// envProfile names a folder for processor profiles, one a process.
	envProfile = "TRAILDRIFT_RIG_PROFILE"
	// envOtherProgram names a program of another revision that calls Main, and envOtherRole the role
	// whose processes run it: see scripts/mixed.sh.
	envOtherProgram = "TRAILDRIFT_RIG_OTHER"
	envOtherRole    = "TRAILDRIFT_RIG_OTHER_ROLE"
)

// Main runs the process that the environment asks for and exits; it returns
// at once where it asks for none. Programs that start fleets call it first.
func Main() {
	role := os.Getenv(envRole)
	if role == "" {
		return
	}
	startProfile(role)
	if err := runRole(role, os.Getenv(envFile)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// startProfile takes a processor startProfile of the first seconds, if asked for.
func startProfile(role string) {
	dir := os.Getenv(envProfile)
	if dir == "" {
		return
	}
	out, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.pprof", role, os.Getpid())))
	if err != nil || pprof.StartCPUProfile(out) != nil {
		return
	}
	time.AfterFunc(profileDuration, pprof.StopCPUProfile)
}

// profileDuration is how long a profile is taken.
const profileDuration = 12 * time.Second

func runRole(role, file string) error {
	ctx := context.Background()
	if role == store.RoleEntry {
		return entry.Main(ctx, file)
	}
	return guard.Main(ctx, file)
}
