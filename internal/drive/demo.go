// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package drive

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Demo sends the requests of the demo to two entries and prints a line for each answer.
type Demo struct {
	// Out receives the printed lines.
	Out io.Writer
	// First and Second call the two entries.
	First, Second *Caller
	// wrong counts the answers that differ from the expected ones.
	wrong int
	// explained is the ID of the request whose explanation the demo shows.
	explained string
}

// demoTimeout is the timeout of each request of the demo, and of the wait for both entries to
// become ready.
const demoTimeout = 20 * time.Second

// Run sends all requests and returns the ID of a request to explain. It returns an error if an
// entry does not become ready or if an answer differs from the expected one.
func (d *Demo) Run() (string, error) {
	deadline := time.Now().Add(demoTimeout)
	for _, c := range []*Caller{d.First, d.Second} {
		if err := c.WaitReady(deadline); err != nil {
			return "", err
		}
	}
	d.chats()
	d.session()
	d.services()
	d.refusals()
	if d.wrong > 0 {
		return d.explained, errors.Newf("%d answers were wrong", d.wrong)
	}
	return d.explained, nil
}

// chat returns a chat request with a prompt of one message; header lists names and values in turn.
func chat(model, text string, streamed bool, header ...string) Request {
	a := Request{
		Chat:     fakes.ChatRequest{Model: model, Messages: []fakes.Message{{Role: "user", Content: text}}, MaxTokens: 12, Stream: streamed},
		Header:   map[string]string{},
		Deadline: time.Now().Add(demoTimeout),
	}
	for i := 0; i+1 < len(header); i += 2 {
		a.Header[header[i]] = header[i+1]
	}
	return a
}

// expect sends a request and prints the answer. want is the expected kind of error; empty if a
// complete answer is expected.
func (d *Demo) expect(title string, c *Caller, a Request, want fault.Kind) Answer {
	got, err := c.Do(a)
	kind := fault.Kind("")
	if got.Err != nil {
		kind = got.Err.Kind
	}
	verdict := "ok"
	if err != nil || got.InvalidReason != "" || kind != want {
		verdict = fmt.Sprintf("WRONG (%v %s %s)", err, got.InvalidReason, kind)
		d.wrong++
	}
	_, _ = fmt.Fprintf(d.Out, "%-46s %-5s status %d", title, verdict, got.Status)
	if got.Model != "" {
		_, _ = fmt.Fprintf(d.Out, " by %s@%s", got.Model, got.Version)
	}
	if got.Err != nil {
		_, _ = fmt.Fprintf(d.Out, " %s %s: %s", got.Err.Kind, got.Err.Run, got.Err.Message)
	}
	_, _ = fmt.Fprintln(d.Out)
	return got
}

func (d *Demo) chats() {
	d.expect("chat, whole, first entry", d.First, chat("boundary-history", "draft the history of lot 7", false), "")
	a := d.expect("chat, streamed, second entry", d.Second, chat("boundary-history", "draft the history of lot 8", true), "")
	d.explained = a.RequestID
	d.expect("chat, parcel tags, cheap version is enough", d.First, chat("parcel-tags", "tag lot 9", false), "")
}

func (d *Demo) session() {
	a := d.expect("session opened at the first entry", d.First, chat("easement-summary", "summarise", false, "Traildrift-Session", "new"), "")
	b := d.expect("session kept at the second entry", d.Second, chat("easement-summary", "go on", true, "Traildrift-Session", a.Session), "")
	if a.Version == "" || a.Version != b.Version || a.Model != b.Model {
		_, _ = fmt.Fprintln(d.Out, "WRONG: the session changed its version")
		d.wrong++
	}
}

func (d *Demo) services() {
	lodge := Request{Path: "/svc/title-notes/notes", Body: `{"title":"NA12/34","note":"mortgage discharged"}`, Deadline: time.Now().Add(demoTimeout)}
	a := d.expect("note lodged once, not repeatable", d.First, lodge, "")
	if !strings.Contains(string(a.Body), "mortgage") {
		_, _ = fmt.Fprintln(d.Out, "WRONG: the note is not in the answer")
		d.wrong++
	}
}

func (d *Demo) refusals() {
	d.expect("refused: a model that is not allowed", d.First, chat("score-app", "hello", false), fault.NotAllowed)
	d.expect("refused: a district not cut over yet", d.Second, chat("boundary-history", "hello", false, "Traildrift-District", "southland"), fault.NotCutOver)
	wrongKeyCaller := NewCaller(d.First.Addr, "wrong key")
	d.expect("refused: a wrong API key", wrongKeyCaller, chat("boundary-history", "hello", false), fault.Unauthorized)
}
