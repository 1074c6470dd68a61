// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/desk"
	"github.com/traildrift/traildrift/pkg/trail"
)

// operatorArgs are the arguments of commands that query a process at its operators' listener.
type operatorArgs struct {
	Operators netip.AddrPort `arg:"--operators" help:"address of a process's operators' listener"`
	Token     string         `arg:"--token" help:"file with the operators' token"`
}

// fetch returns the body at a path of the listener. Without a token file it sends no token.
func (o operatorArgs) fetch(path string) ([]byte, error) {
	token := ""
	if o.Token != "" {
		text, err := os.ReadFile(o.Token)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(text))
	}
	return desk.Fetch(o.Operators, token, path)
}

// explainArgs are the arguments of the command that shows the decisions on a request.
type explainArgs struct {
	operatorArgs
	Platform netip.AddrPort `arg:"--platform,env:TRAILDRIFT_PLATFORM" help:"address of the object API, which holds the decisions on past requests"`
	Request  string         `arg:"positional,required" help:"request ID, from the header Traildrift-Request"`
	JSON     bool           `arg:"--json" help:"write JSON"`
	Logs     []string       `arg:"--logs" help:"logs of routers to search, instead of querying a process or the platform"`
}

func (a *explainArgs) run(ctx context.Context) error {
	if len(a.Logs) > 0 {
		return a.explainFromLogs()
	}
	r, err := a.find(ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	return desk.Explain(os.Stdout, r)
}

// explainFromLogs writes what the logs of routers hold on the request. It returns an error if none
// of them has it.
func (a *explainArgs) explainFromLogs() error {
	anyFound := false
	for _, name := range a.Logs {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "explain")
		}
		found, err := desk.ExplainFromLog(os.Stdout, name, f, a.Request)
		_ = f.Close()
		if err != nil {
			return err
		}
		anyFound = anyFound || found
	}
	if !anyFound {
		return errors.Newf("explain: no log has the end of request %s", a.Request)
	}
	return nil
}

// find returns the decision record of the request: from the process if one is named, from the
// platform if none is or the process does not return the record.
func (a *explainArgs) find(ctx context.Context) (trail.Record, error) {
	var r trail.Record
	if a.Operators.IsValid() {
		body, err := a.fetch("/explain?id=" + url.QueryEscape(a.Request))
		if err == nil {
			return r, json.Unmarshal(body, &r)
		}
		if !a.Platform.IsValid() {
			return r, err
		}
	}
	if !a.Platform.IsValid() {
		return r, errUsage
	}
	return desk.FindTrail(ctx, platformArgs{a.Platform}.store(), a.Request)
}

// dumpArgs are the arguments of the command that shows the state of a process, as JSON.
type dumpArgs struct {
	operatorArgs
}

func (a *dumpArgs) run(context.Context) error {
	body, err := a.fetch("/debug/state")
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(body)
	return err
}

// billsArgs are the arguments of the command that shows bills.
type billsArgs struct {
	platformArgs
	Workspace string `arg:"--workspace" help:"show the bills of this workspace only"`
	JSON      bool   `arg:"--json" help:"write JSON lines"`
}

func (a *billsArgs) run(ctx context.Context) error {
	lines, bad := desk.Bills(ctx, a.store(), a.Workspace)
	enc := json.NewEncoder(os.Stdout)
	for _, l := range lines {
		if a.JSON {
			if err := enc.Encode(l); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("%-50s %-12s %-16s attempts %d cost %.6f\n", l.ID, l.Workspace, l.Workload, len(l.Attempts), l.Cost())
	}
	return bad
}
