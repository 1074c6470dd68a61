// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// Headers that guards send to engines and services: the ID of the run and its priority.
const (
	RunHeader      = "X-Run-Id"
	PriorityHeader = "X-Priority"
)

// EngineOptions configures a fake engine.
type EngineOptions struct {
	// Slots is the batch size; runs beyond it wait. Less than 1 counts as 1.
	Slots int
	// FirstToken is the time to the first token, PerToken the time to each later one.
	FirstToken config.Span
	PerToken   config.Span
	// Seed seeds the injected faults.
	Seed uint64
	// Versions lists the versions loaded at the start, as model@version; nil for an engine
	// that does not report its versions.
	Versions []string
	// FetchWeights fetches a version's weights before it is loaded and reports success; nil if
	// none need to be fetched.
	FetchWeights func(version string) bool
	// Unfenced makes the engine accept orders with an outdated fencing token.
	Unfenced bool
	// CrashOn is a text; the engine crashes when it receives a chat request whose body
	// contains it. Empty for none.
	CrashOn string
}

// Engine is a fake model engine: it answers chat completions, streamed or whole, resumes and
// cancels them by run ID, takes orders to load versions and reports its load.
type Engine struct {
	*faultInjector
	// Crash is called to end the engine's process or listener on a crash. The owner sets it
	// before the first call if EngineOptions.CrashOn is set.
	Crash func()
	opts  EngineOptions
	// batch holds one element for each run in the batch.
	batch chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// runs counts the executions of each run ID.
	runs map[string]int
	// answers holds the answer of each run ID, for resumption.
	answers map[string]*answer
	// models counts the runs of each model@version.
	models map[string]int
	// running is the number of runs in the batch, waiting that of runs waiting for a slot.
	running int
	waiting int
	// loaded lists the loaded versions; fence is the highest fencing token received, which
	// only grows.
	loaded []string
	fence  int64
	// orders counts the accepted orders.
	orders int
	// crashed says that the engine crashed on a request.
	crashed bool
}

// answer is the answer of one run; json says that it is sent whole, not as a stream of events.
type answer struct {
	buf    *stream.Buffer
	cancel context.CancelFunc
	json   bool
}

// maxAnswerBytes is the maximum size of an answer.
const maxAnswerBytes = 8 << 20

// NewEngine returns an idle engine.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		faultInjector: newFaultInjector(o.Seed),
		opts:          o,
		batch:         make(chan struct{}, max(o.Slots, 1)),
		runs:          make(map[string]int),
		models:        make(map[string]int),
		answers:       make(map[string]*answer),
		loaded:        o.Versions,
	}
}

// Crashed reports whether the engine crashed on a request.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// Runs returns the number of executions of each run ID.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// ModelRuns returns the number of runs started for a model@version.
func (e *Engine) ModelRuns(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[model]
}

// Load returns the number of runs in the batch and that of runs waiting for a slot.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// Handle serves one HTTP call.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if e.handleFaults(ctx) {
		return
	}
	path := string(ctx.Path())
	f := e.current()
	if f.Down {
		ctx.Error("fake engine: unavailable by an injected fault", fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == "/runs":
		writeJSON(ctx, e.Runs())
	case path == "/load":
		running, waiting := e.Load()
		writeJSON(ctx, loadReport{Running: running, Waiting: waiting, Versions: e.Loaded()})
	case path == "/v1/orders":
		e.order(ctx)
	case path == "/v1/chat/completions":
		e.chat(ctx, f)
	case strings.HasPrefix(path, "/v1/runs/"):
		e.serveRun(ctx, strings.TrimPrefix(path, "/v1/runs/"), f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// chat starts the run of a chat request and sends its answer.
func (e *Engine) chat(ctx *fasthttp.RequestCtx, f Faults) {
	var req ChatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error("broken JSON", fasthttp.StatusBadRequest)
		return
	}
	id := string(ctx.Request.Header.Peek(RunHeader))
	run, cancel := context.WithCancel(context.Background())
	a := &answer{buf: stream.New(maxAnswerBytes), cancel: cancel, json: !req.Stream}
	e.mu.Lock()
	e.runs[id]++
	e.models[req.Model]++
	e.answers[id] = a
	e.mu.Unlock()
	if e.opts.CrashOn != "" && bytes.Contains(ctx.PostBody(), []byte(e.opts.CrashOn)) {
		cancel()
		e.mu.Lock()
		e.crashed = true
		e.mu.Unlock()
		e.Crash()
		// The connection is closed without a response.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	go e.generate(run, a, req, f)
	e.sendFrom(ctx, a, 0, f)
}

// serveRun resumes the answer of a run from an offset in bytes, or cancels the run. rest is the
// run ID, followed by "/cancel" for a cancellation.
func (e *Engine) serveRun(ctx *fasthttp.RequestCtx, rest string, f Faults) {
	id, verb, _ := strings.Cut(rest, "/")
	e.mu.Lock()
	a, ok := e.answers[id]
	e.mu.Unlock()
	if !ok {
		ctx.Error("no such run", fasthttp.StatusNotFound)
		return
	}
	if verb == "cancel" {
		a.cancel()
		return
	}
	offset, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("offset")))
	e.sendFrom(ctx, a, offset, f)
}

// sendFrom sends the answer from an offset in bytes on, as it is generated.
func (e *Engine) sendFrom(ctx *fasthttp.RequestCtx, a *answer, offset int, f Faults) {
	if f.Raw != "" {
		sendRaw(ctx, f)
		return
	}
	if a.json {
		ctx.SetContentType("application/json")
	} else {
		ctx.SetContentType("text/event-stream")
	}
	conn := ctx.Conn()
	write := func(w *bufio.Writer) { sendAnswer(w, conn, a.buf, offset, f) }
	if f.Unframed {
		ctx.SetConnectionClose()
		ctx.Response.SetBodyStream(fasthttp.NewStreamReader(write), unframedSize)
		return
	}
	ctx.SetBodyStreamWriter(write)
}

// unframedSize is the size of a body that ends with its connection, for fasthttp.
const unframedSize = -2

// sendAnswer writes the answer in b to w until it ends or a fault in f cuts it. A failed run, like
// DisconnectAfter, closes the connection in the middle of the response.
func sendAnswer(w *bufio.Writer, conn net.Conn, b *stream.Buffer, offset int, f Faults) {
	for chunks := 1; ; chunks++ {
		_, p, end, _ := b.Next(context.Background(), offset)
		if end != nil && end.Err != nil {
			_ = conn.Close()
			return
		}
		if _, err := w.Write(p); err != nil {
			return
		}
		if w.Flush() != nil {
			return
		}
		offset += len(p)
		if end != nil {
			return
		}
		if f.TruncateAfter > 0 && chunks >= f.TruncateAfter {
			return
		}
		if f.DisconnectAfter > 0 && chunks >= f.DisconnectAfter {
			_ = conn.Close()
			return
		}
	}
}

// generate waits for a slot in the batch, then generates the answer word by word into a.
func (e *Engine) generate(ctx context.Context, a *answer, req ChatRequest, f Faults) {
	e.addLoad(0, 1)
	select {
	case e.batch <- struct{}{}:
	case <-ctx.Done():
		e.addLoad(0, -1)
		a.buf.Finish(0, fault.New(fault.CallerGone, fault.NotRun, "Cancelled."))
		return
	}
	e.addLoad(1, -1)
	defer func() {
		<-e.batch
		e.addLoad(-1, 0)
	}()
	slow := max(f.Slowdown, 1)
	if e.draw(f.FailureRate) || !e.waitStep(ctx, e.opts.FirstToken, slow) {
		a.buf.Finish(0, fault.New(fault.EndpointFailed, fault.Ran, "The run failed."))
		return
	}
	words := Words(req)
	for i, word := range words {
		if i > 0 && !e.waitStep(ctx, e.opts.PerToken, slow) {
			a.buf.Finish(0, fault.New(fault.CallerGone, fault.Ran, "Cancelled."))
			return
		}
		if req.Stream {
			e.appendBytes(a, sseChunk(req.Model, word))
		}
	}
	if req.Stream {
		e.appendBytes(a, sseUsage(req, len(words)))
		e.appendBytes(a, []byte("data: [DONE]\n\n"))
	} else {
		e.appendBytes(a, wholeAnswer(req, words))
	}
	a.buf.Finish(a.buf.Len(), nil)
}

func (e *Engine) appendBytes(a *answer, p []byte) { _ = a.buf.Append(0, a.buf.Len(), p) }

// addLoad adds to the counts of running and waiting runs.
func (e *Engine) addLoad(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
}

// waitStep waits for s times slow and reports whether it did so without being cancelled.
func (e *Engine) waitStep(ctx context.Context, s config.Span, slow float64) bool {
	t := time.NewTimer(time.Duration(float64(s) * slow))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
