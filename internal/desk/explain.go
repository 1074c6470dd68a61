// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package desk

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/internal/ledger"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/upconn"
	"github.com/traildrift/traildrift/pkg/bill"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/trail"
)

// ErrUnknownRequest is returned by FindTrail if no trail holds the request.
var ErrUnknownRequest = errors.New("no trail holds this request; it may be younger than a second, refused before a decision, or lost while the platform was down")

// fetchTimeout is the timeout of one call to a process.
const fetchTimeout = 5 * time.Second

// fetcher makes the calls of Fetch.
var fetcher = fasthttp.Client{Dial: upconn.DialSequential}

// Fetch returns the body at a path of a process's operators' listener. token is sent as a bearer
// token unless it is empty. Fetch returns an error if the process does not answer within
// fetchTimeout or answers with a status other than 200.
func Fetch(addr netip.AddrPort, token, path string) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + path)
	if token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	}
	if err := fetcher.DoDeadline(req, resp, time.Now().Add(fetchTimeout)); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("%s answered with status %d: %s", addr, resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// FindTrail returns the decision record of a past request from the platform. A request ID begins
// with the incarnation of the process that served it, and so do the names of that process's trail
// batches; only these batches are read. FindTrail returns ErrUnknownRequest if none of them holds
// the request; the error also names the records that can't be decoded.
func FindTrail(ctx context.Context, c *store.Client, requestID string) (trail.Record, error) {
	incarnation, _, _ := strings.Cut(requestID, "-")
	objects, err := c.List(ctx, ledger.KindTrail, incarnation)
	if err != nil {
		return trail.Record{}, err
	}
	var bad error
	for _, o := range objects {
		batch, err := trail.Decode(o.Value)
		if err != nil {
			bad = errors.Join(bad, errors.Wrapf(err, "trail batch %s", o.Name))
		}
		for _, r := range batch {
			if r.RequestID == requestID {
				return r, nil
			}
		}
	}
	return trail.Record{}, errors.Join(ErrUnknownRequest, bad)
}

// Bills returns the bill lines of a workspace, or of all workspaces if it is empty, as bill.Fold
// merges them: one for each bill ID, sorted by ID. Beside those that can be decoded it returns an error that names the
// others.
func Bills(ctx context.Context, c *store.Client, workspace string) ([]bill.Line, error) {
	objects, err := c.List(ctx, ledger.KindBills, "")
	if err != nil {
		return nil, err
	}
	var lines []bill.Line
	var bad error
	for _, o := range objects {
		var batch elems.List[bill.Line]
		err := elems.Unmarshal(o.Value, &batch)
		if err = errors.Join(err, batch.Err()); err != nil {
			bad = errors.Join(bad, errors.Wrapf(err, "bill batch %s", o.Name))
		}
		for _, l := range batch.Items {
			if workspace == "" || l.Workspace == workspace {
				lines = append(lines, l)
			}
		}
	}
	return bill.Fold(lines), bad
}

// Explain writes a decision record as text. It returns the error of w.
func Explain(w io.Writer, r trail.Record) error {
	p := &printer{w: w}
	p.line("request   %s", r.RequestID)
	p.line("for       %s", config.Path(r.Workspace, r.Workload, r.District))
	p.line("entry     %s, settings revision %d", r.Entry, r.Revision)
	p.line("times     arrived %s, ended %s, deadline %s", formatTime(r.Arrived), formatTime(r.Ended), formatTime(r.Deadline))
	p.line("bill      %s", r.BillID)
	if r.Key != "" {
		p.line("key       %s", r.Key)
	}
	if r.Session != "" {
		p.line("session   %s", r.Session)
	}
	for _, s := range r.Steps {
		p.step(s, r.Settings)
	}
	if r.Err != nil {
		p.line("ended     %s", r.Err)
	} else {
		p.line("ended     whole")
	}
	p.line("settings")
	for _, s := range r.Settings {
		p.line("  %-14s %-40s %s", s.Key, s.Value, originName(s.Origin))
	}
	return p.err
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

// printer writes lines until the first error, which it keeps in err.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// step writes one decision: the endpoint that was picked, and for each candidate the reason and the
// setting that decided on it.
func (p *printer) step(s trail.Step, settings []config.Setting) {
	where := s.VM
	if where == "" {
		where = "no endpoint"
	}
	p.line("attempt %d at %s, revision %d: %s %s", s.Attempt, formatTime(s.At), s.Revision, versionName(s.Model, s.Version), where)
	for _, c := range s.Candidates {
		p.line("  %-24s %-22s cost %-8v quality %-6v wait %-6.2f score %-8.3f %s", versionName(c.Model, c.Version), c.Reason, c.Cost, c.Quality, c.Wait, c.Score, decidingSetting(c.Reason.Setting(), settings))
	}
	if s.Err != nil {
		p.line("  ended: %s", s.Err)
	}
}

// versionName returns model@version, or "(service)" for a request to a plain service.
func versionName(model, version string) string {
	if model == "" {
		return "(service)"
	}
	return model + "@" + version
}

// decidingSetting returns the setting of a key with its value and origin; empty if there is none.
func decidingSetting(key string, settings []config.Setting) string {
	for _, s := range settings {
		if s.Key == key {
			return fmt.Sprintf("by %s %s from %s", s.Key, s.Value, originName(s.Origin))
		}
	}
	return ""
}
