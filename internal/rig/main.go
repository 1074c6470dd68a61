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

// Environment variables of a process of a fleet.
const (
	// envRole is the role of the process and envFile the path of its process settings. If
	// envRole is set, Main runs that role.
	envRole = "TRAILDRIFT_RIG_ROLE"
	envFile = "TRAILDRIFT_RIG_FILE"
	// envProfile names a folder in which each process writes a CPU profile; none if empty.
	envProfile = "TRAILDRIFT_RIG_PROFILE"
	// envOtherProgram is the path of a program built from another revision that calls Main,
	// and envOtherRole the role whose processes run it: see scripts/mixed.sh.
	envOtherProgram = "TRAILDRIFT_RIG_OTHER"
	envOtherRole    = "TRAILDRIFT_RIG_OTHER_ROLE"
)

// Main runs the role that the environment names and exits the process, with code 1 on an
// error. It returns at once if the environment names no role. A program that starts fleets
// must call it first, since Node.Start runs that same program.
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

// startProfile starts a CPU profile of the first profileDuration if envProfile is set. The
// process runs without a profile if that fails.
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

const profileDuration = 12 * time.Second

func runRole(role, file string) error {
	ctx := context.Background()
	if role == store.RoleEntry {
		return entry.Main(ctx, file)
	}
	return guard.Main(ctx, file)
}
