// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/broken"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// runAnswer runs work at an endpoint that sends text, and returns the body.
func runAnswer(t *testing.T, kind, text string) (string, *fault.Error) {
	b := stream.New(1 << 20)
	work := wire.Work{Call: wire.Call{Method: http.MethodGet, Path: "/titles/17", Deadline: time.Now().Add(10 * time.Second)}}
	_, err := NewEndpoint(kind, cutService(t, text, false)).Run(t.Context(), wire.RunKey{RunID: "r"}, &work, b)
	return string(b.Bytes()), err
}

// Guards against a status such as 000, which the client takes for 200, and a field whose name holds a blank or a control
// byte, that callers get as an answer of an engine or a service.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	for _, a := range broken.Answers() {
		for _, kind := range []string{KindService, KindEngine} {
			body, err := runAnswer(t, kind, a.Text(""))
			if err == nil || err.Run != fault.MayHaveRun || body != "" {
				t.Errorf("%s of a %s: got %q, %v, want an error that may have run", a.Name, kind, body, err)
			}
		}
	}
}

// Guards against unusual heads that HTTP/1 allows and that are taken for broken ones.
func TestUnusualHeadsAreAnswers(t *testing.T) {
	for _, a := range broken.SoundAnswers() {
		for _, kind := range []string{KindService, KindEngine} {
			if body, err := runAnswer(t, kind, a.Text("")); err != nil || body != broken.SoundBody {
				t.Errorf("%s of a %s: got %q, %v, want the answer", a.Name, kind, body, err)
			}
		}
	}
}

// Guards against versions that count as loaded, or as reported, by an answer that is none.
func TestBrokenHeadsOfShortCallsAreNoAnswers(t *testing.T) {
	for _, a := range broken.Answers() {
		a.Body = `{"versions":["m@1"]}`
		e := NewEndpoint(KindEngine, cutService(t, strings.ReplaceAll(a.Text(""), "8\r\n", "20\r\n"), false))
		if versions, err := e.Probe(t.Context()); err != nil || versions != nil {
			t.Errorf("%s: probe: got %v, %v, want no versions", a.Name, versions, err)
		}
		if err := e.LoadVersion(t.Context(), &wire.Order{Model: "m", Version: "1"}); err == nil {
			t.Errorf("%s: load: got no error", a.Name)
		}
	}
}
