// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/platform"
)

// quarantineArgs are the arguments of the command that shows and lifts quarantines of requests and
// of parts of prompts on the users' platform.
type quarantineArgs struct {
	Store netip.AddrPort `arg:"--store,required" help:"address of the platform's store"`
	Lift  string         `arg:"--lift" help:"lift the quarantine of the request or the part with this fingerprint at all routers"`
}

func (a *quarantineArgs) run(ctx context.Context) error {
	if a.Lift == "" {
		return a.show(ctx)
	}
	p, err := poison.ParseFingerprint(a.Lift)
	if err != nil {
		return err
	}
	if err := platform.LiftQuarantine(ctx, a.Store, p); err != nil {
		return err
	}
	fmt.Printf("%v: lifted; routers hear of it within a second\n", p)
	return nil
}

// show writes a heading and a line for each quarantined request or part.
func (a *quarantineArgs) show(ctx context.Context) error {
	list, bad := platform.Quarantines(ctx, a.Store)
	if len(list) == 0 && bad != nil {
		return bad
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "fingerprint\tsubject\tround\tcrashes\tlast crash\tuntil")
	for _, v := range list {
		last := "-"
		if n := len(v.Crashes); n > 0 {
			last = v.Crashes[n-1].At.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%v\t%s\t%d\t%d\t%s\t%s\n", v.Fingerprint, describeSubject(&v), v.Round, len(v.Crashes), last, v.Until.UTC().Format(time.RFC3339))
	}
	return errors.Join(w.Flush(), bad)
}

// describeSubject describes what a verdict is on.
func describeSubject(v *poison.Verdict) string {
	p := &v.Part
	switch {
	case *p == (poison.Part{}):
		return "request"
	case p.AnyCaller:
		return fmt.Sprintf("part %q at %s, any workspace", p.ID, p.Service)
	default:
		return fmt.Sprintf("part %q at %s, workspace %q", p.ID, p.Service, p.Caller)
	}
}
