// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/acct"
)

// accountArgs account for the time of requests, from routers' logs.
type accountArgs struct {
	Logs  []string `arg:"positional,required" help:"logs of routers; each is named for its router, unless something before a line's first brace ends with the router's name"`
	Rows  int      `arg:"--rows" default:"20" help:"rows of each table; 0 for all"`
	CSV   string   `arg:"--csv" help:"folder for a CSV file of each table"`
	Plots string   `arg:"--plots" help:"folder for the plots, as SVG"`
}

func (a *accountArgs) run(context.Context) error {
	account := acct.New()
	for _, name := range a.Logs {
		if err := readLog(account, name); err != nil {
			return err
		}
	}
	account.Finish()
	if err := account.Write(os.Stdout, a.Rows); err != nil {
		return err
	}
	if a.CSV != "" {
		if err := account.WriteCSV(a.CSV); err != nil {
			return err
		}
	}
	if a.Plots != "" {
		return account.WritePlots(a.Plots)
	}
	return nil
}

// readLog takes in one log, which is closed again.
func readLog(account *acct.Account, name string) (err error) {
	f, err := os.Open(filepath.Clean(name))
	if err != nil {
		return errors.Wrap(err, "account")
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	base := filepath.Base(name)
	return account.Read(strings.TrimSuffix(base, filepath.Ext(base)), f)
}
