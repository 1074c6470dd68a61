// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/usage"
	"github.com/traildrift/traildrift/platform"
)

// dutiesArgs are the arguments of the command that shows the record of the duties, which one VM at a
// time holds on the users' platform.
type dutiesArgs struct {
	Store  netip.AddrPort `arg:"--store,required" help:"address of the platform's store"`
	Window config.Span    `arg:"--window" help:"length of the usage windows, to show when they end"`
}

func (a *dutiesArgs) run(ctx context.Context) error {
	r, err := platform.Duties(ctx, a.Store)
	if errors.Is(err, store.ErrNotFound) {
		fmt.Println("no router holds the duties")
		return nil
	}
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "holder\t%s\n", r.Holder)
	fmt.Fprintf(w, "fence\t%d\n", r.EffectiveFence())
	fmt.Fprintf(w, "held before by\t%s\n", strings.Join(r.PastHolders, ", "))
	fmt.Fprintf(w, "newest settled window\t%s\n", a.windowText(r.Settled))
	fmt.Fprintf(w, "next window due from\t%s\n", a.windowEnd(r.Settled+1))
	for _, u := range r.Unsent {
		fmt.Fprintf(w, "not known to be sent\t%s, %d requests of %d workspaces\n", a.windowText(u.Window), u.Counts.Sum(), len(u.Counts))
	}
	return w.Flush()
}

// windowText returns the number of a window and, if the length of windows is given, when it ended.
func (a *dutiesArgs) windowText(w usage.Window) string {
	if a.Window <= 0 {
		return fmt.Sprint(int64(w))
	}
	return fmt.Sprintf("%d, ended at %s", w, a.windowEnd(w))
}

// windowEnd returns when a window ends, or a dash if the length of windows is not given.
func (a *dutiesArgs) windowEnd(w usage.Window) string {
	if a.Window <= 0 {
		return "-"
	}
	return usage.Clock{Length: a.Window}.End(w).UTC().Format(time.RFC3339)
}
