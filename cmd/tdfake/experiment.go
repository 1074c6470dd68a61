// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"os"

	"github.com/traildrift/traildrift/internal/emul"
	"github.com/traildrift/traildrift/internal/proc"
)

type experimentArgs struct {
	File string `arg:"positional,required" help:"YAML file of the experiment; see examples/experiments"`
}

// run simulates the experiment and prints its table.
func (a *experimentArgs) run() error {
	var x emul.Experiment
	if err := proc.Load(a.File, &x); err != nil {
		return err
	}
	return emul.WriteTable(os.Stdout, &x)
}
