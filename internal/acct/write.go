// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package acct

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Write writes the account as text, with at most maxRows rows of each table; 0 means all rows.
// Call Finish before.
func (a *Account) Write(w io.Writer, maxRows int) error {
	head := fmt.Sprintf("%d requests of %d routers: %d late, %d not served\n", a.Requests, len(a.sources), a.Late, a.Failed)
	if a.OmittedAttempts > 0 {
		head += fmt.Sprintf("%d attempts too many to keep: what waited behind them is not told\n", a.OmittedAttempts)
	}
	if a.OmittedRequests > 0 {
		head += fmt.Sprintf("%d requests too many to keep: the table of classes lacks them\n", a.OmittedRequests)
	}
	if _, err := io.WriteString(w, head); err != nil {
		return errors.Wrap(err, "account")
	}
	for _, t := range a.Tables() {
		if err := t.write(w, maxRows); err != nil {
			return errors.Wrap(err, "account")
		}
	}
	return nil
}

// write writes the title of a table, its columns aligned, and the number of rows left out.
func (t *Table) write(w io.Writer, maxRows int) error {
	if _, err := fmt.Fprintf(w, "\n%s\n", t.Title); err != nil {
		return err
	}
	rows := t.Rows
	if maxRows > 0 {
		rows = rows[:min(maxRows, len(rows))]
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.Head}, rows...) {
		if _, err := fmt.Fprintln(tw, "  "+strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if left := len(t.Rows) - len(rows); left > 0 {
		_, err := fmt.Fprintf(w, "  and %d rows more\n", left)
		return err
	}
	return nil
}

// WriteCSV writes each table to a CSV file of its name in an existing directory. Call Finish
// before. It overwrites files of the same name.
func (a *Account) WriteCSV(dir string) error {
	for _, t := range a.Tables() {
		if err := t.writeCSV(filepath.Join(dir, t.Name+".csv")); err != nil {
			return errors.Wrap(err, "account")
		}
	}
	return nil
}

func (t *Table) writeCSV(file string) (err error) {
	f, err := os.Create(filepath.Clean(file))
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	w := csv.NewWriter(f)
	return w.WriteAll(append([][]string{t.Head}, t.Rows...))
}
