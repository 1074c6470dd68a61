// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// cutEngine is an engine that answers with text and cuts each connection after step
// further bytes; with a step of 0 only the first call brings a byte.
type cutEngine struct {
	text string
	step int
	// calls counts the requests.
	calls atomic.Int32
}

func (e *cutEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first := e.calls.Add(1) == 1
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	step := e.step
	if first {
		step = max(step, 1)
	}
	piece := e.text[offset:min(offset+step, len(e.text))]
	w.Header().Set("Content-Length", strconv.Itoa(len(e.text)-offset))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, piece)
	_ = http.NewResponseController(w).Flush()
	if offset+step < len(e.text) {
		panic(http.ErrAbortHandler)
	}
}

// runWithEngine runs one streamed request at the engine and returns the answer.
func runWithEngine(t *testing.T, e *cutEngine) (string, *fault.Error) {
	t.Helper()
	s := httptest.NewServer(e)
	defer s.Close()
	endpoint := NewEndpoint(KindEngine, netip.MustParseAddrPort(s.Listener.Addr().String()))
	b := stream.New(1 << 20)
	work := wire.Work{Call: wire.Call{
		Method:   http.MethodPost,
		Path:     "/v1/chat/completions",
		Model:    "m",
		Stream:   true,
		Deadline: time.Now().Add(10 * time.Second),
	}}
	_, err := endpoint.Run(t.Context(), wire.RunKey{RunID: "r"}, &work, b)
	return string(b.Bytes()), err
}

// TestAnswerCutRepeatedlyIsComplete guards against a fixed limit of resumes per answer. An
// answer of 18 events, 3 per connection, was then lost half-way although each connection
// brought bytes and the run was in progress. Whether an answer was complete depended on how
// far the engine was ahead of the reader.
func TestAnswerCutRepeatedlyIsComplete(t *testing.T) {
	text := strings.Repeat("data: {}\n\n", 18) + endMarker + "\n\n"
	e := &cutEngine{text: text, step: 3 * len("data: {}\n\n")}
	got, err := runWithEngine(t, e)
	if err != nil || got != text {
		t.Errorf("answer after %d calls: got %d bytes, %v, want %d bytes, nil", e.calls.Load(), len(got), err, len(text))
	}
}

// TestIdleResumesAreBounded checks that a run ends as NotWhole after maxIdleResumes
// resumes without a byte.
func TestIdleResumesAreBounded(t *testing.T) {
	e := &cutEngine{text: strings.Repeat("x", 100)}
	_, err := runWithEngine(t, e)
	if err == nil || err.Kind != fault.NotWhole {
		t.Errorf("error: got %v, want %v", err, fault.NotWhole)
	}
	if got, want := int(e.calls.Load()), 1+maxIdleResumes; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}
