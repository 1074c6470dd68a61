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

// accountArgs are the arguments of the command that analyses routers' logs.
type accountArgs struct {
	Logs  []string `arg:"positional,required" help:"logs of routers; the file name without extension names the router, unless text before a line's first brace does"`
	Rows  int      `arg:"--rows" default:"20" help:"maximum number of rows of each table; 0 for all"`
	CSV   string   `arg:"--csv" help:"existing folder to write a CSV file of each table to"`
	Plots string   `arg:"--plots" help:"existing folder to write the plots to, as SVG"`
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

// readLog adds the log in a file. The router's name is the file's, without its extension.
func readLog(account *acct.Account, name string) (err error) {
	f, err := os.Open(filepath.Clean(name))
	if err != nil {
		return errors.Wrap(err, "account")
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	base := filepath.Base(name)
	return account.Read(strings.TrimSuffix(base, filepath.Ext(base)), f)
}
