// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/stream"
)

// Headers between guards and engines or services.
const (
	RunHeader      = "X-Run-Id"
	PriorityHeader = "X-Priority"
)

// EngineOptions shape a stand-in engine.
type EngineOptions struct {
	// Slots is the batch size; a run waits for a place in the batch.
	Slots int
	// FirstToken is the time to the first token, PerToken to each other.
	FirstToken config.Span
	PerToken   config.Span
	// Seed drives the faults.
	Seed uint64
	// Versions lists what is loaded at the start, as model@version; nil for an
	// engine that does not say what it has.
	Versions []string
	// Weights fetches a version's weights before it is loaded; nil needs none.
	Weights func(version string) bool
	// Unfenced says that the engine does not check who gives it orders.
	Unfenced bool
}

// Engine is a stand-in for a model engine: chat completions, streamed or
// whole, resumed and cancelled by run ID, with a load report.
type Engine struct {
	*faultBox
	opts  EngineOptions
	batch chan struct{}
	mu    sync.Mutex
	// runs counts how often each run ID was really run.
	runs map[string]int
	// answers holds the answer of each run ID, for resumption.
	answers map[string]*answer
	// models counts the runs of each model@version.
	models  map[string]int
	running int
	waiting int
	// loaded lists the versions; fence is the highest of the orders taken.
	loaded []string
	fence  int64
	// orders counts the orders taken.
	orders int
}

// answer is one run of the engine.
type answer struct {
	buf    *stream.Buffer
	cancel context.CancelFunc
	json   bool
}

// answerLimit bounds one answer, in bytes.
const answerLimit = 8 << 20

// NewEngine returns an idle engine.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		faultBox: newFaultBox(o.Seed),
		opts:     o,
		batch:    make(chan struct{}, max(o.Slots, 1)),
		runs:     make(map[string]int),
		models:   make(map[string]int),
		answers:  make(map[string]*answer),
		loaded:   o.Versions,
	}
}

// Runs returns how often each run ID was really run.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// ModelRuns returns how many runs of a model@version were begun.
func (e *Engine) ModelRuns(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[model]
}

// Load returns how many runs are under way and how many wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// loadReport is what an engine says of itself.
type loadReport struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Versions []string `json:"versions,omitempty"`
}

// Loaded lists the versions that are loaded.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}

// Orders returns how many orders were taken.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// order loads a version; an order with an older fence is refused.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var o struct {
		Fence int64  `json:"fence"`
		Model string `json:"model"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error("broken JSON", fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	old := o.Fence < e.fence && !e.opts.Unfenced
	e.fence = max(e.fence, o.Fence)
	known := slices.Contains(e.loaded, o.Model)
	e.mu.Unlock()
	if old {
		ctx.Error("an older order", fasthttp.StatusConflict)
		return
	}
	if !known && e.opts.Weights != nil && !e.opts.Weights(o.Model) {
		ctx.Error("no weights", fasthttp.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if !slices.Contains(e.loaded, o.Model) {
		e.loaded = append(e.loaded, o.Model)
	}
}

// ChatRequest is the body of a chat completion.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Handle serves one HTTP call.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if e.serve(ctx) {
		return
	}
	path := string(ctx.Path())
	f := e.get()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
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
		e.known(ctx, strings.TrimPrefix(path, "/v1/runs/"), f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) chat(ctx *fasthttp.RequestCtx, f Faults) {
	var req ChatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error("broken JSON", fasthttp.StatusBadRequest)
		return
	}
	id := string(ctx.Request.Header.Peek(RunHeader))
	run, cancel := context.WithCancel(context.Background())
	a := &answer{buf: stream.New(answerLimit), cancel: cancel, json: !req.Stream}
	e.mu.Lock()
	e.runs[id]++
	e.models[req.Model]++
	e.answers[id] = a
	e.mu.Unlock()
	go e.generate(run, a, req, f)
	e.follow(ctx, a, 0, f)
}

// known resumes or cancels a run.
func (e *Engine) known(ctx *fasthttp.RequestCtx, rest string, f Faults) {
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
	e.follow(ctx, a, offset, f)
}

// follow sends the answer from an offset on.
func (e *Engine) follow(ctx *fasthttp.RequestCtx, a *answer, offset int, f Faults) {
	if a.json {
		ctx.SetContentType("application/json")
	} else {
		ctx.SetContentType("text/event-stream")
	}
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		sendAnswer(w, conn, a.buf, offset, f)
	})
}

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
		if f.EndEarly > 0 && chunks >= f.EndEarly {
			return
		}
		if f.CutAfter > 0 && chunks >= f.CutAfter {
			_ = conn.Close()
			return
		}
	}
}

// generate runs one request through the batch.
func (e *Engine) generate(ctx context.Context, a *answer, req ChatRequest, f Faults) {
	e.count(0, 1)
	select {
	case e.batch <- struct{}{}:
	case <-ctx.Done():
		e.count(0, -1)
		a.buf.Finish(0, fault.New(fault.CallerGone, fault.NotRun, "Cancelled."))
		return
	}
	e.count(1, -1)
	defer func() {
		<-e.batch
		e.count(-1, 0)
	}()
	slow := max(f.Slow, 1)
	if e.draw(f.Fail) || !e.step(ctx, e.opts.FirstToken, slow) {
		a.buf.Finish(0, fault.New(fault.EndpointFailed, fault.Ran, "The run failed."))
		return
	}
	words := Words(req)
	for i, word := range words {
		if i > 0 && !e.step(ctx, e.opts.PerToken, slow) {
			a.buf.Finish(0, fault.New(fault.CallerGone, fault.Ran, "Cancelled."))
			return
		}
		if req.Stream {
			e.put(a, sseChunk(req.Model, word))
		}
	}
	if req.Stream {
		e.put(a, sseUsage(req, len(words)))
		e.put(a, []byte("data: [DONE]\n\n"))
	} else {
		e.put(a, wholeAnswer(req, words))
	}
	a.buf.Finish(a.buf.Len(), nil)
}

func (e *Engine) put(a *answer, p []byte) { _ = a.buf.Append(0, a.buf.Len(), p) }

func (e *Engine) count(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
}

func (e *Engine) step(ctx context.Context, s config.Span, slow float64) bool {
	t := time.NewTimer(time.Duration(float64(s) * slow))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// defaultWords is how many words an answer has without max_tokens.
const defaultWords = 16

// Words returns the answer to a request, word by word: a function of its model
// and last message, so that a caller can check that the answer is its own.
func Words(req ChatRequest) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = defaultWords
	}
	h := fnv.New32a()
	if len(req.Messages) > 0 {
		_, _ = h.Write([]byte(req.Messages[len(req.Messages)-1].Content))
	}
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("%08x-%d ", h.Sum32(), i)
	}
	return words
}

// promptTokens counts the words of a prompt.
func promptTokens(req ChatRequest) int {
	n := 0
	for _, m := range req.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(req ChatRequest, words int) usage {
	p := promptTokens(req)
	return usage{PromptTokens: p, CompletionTokens: words, TotalTokens: p + words}
}

func sseChunk(model, word string) []byte {
	return fmt.Appendf(nil, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", model, word)
}

func sseUsage(req ChatRequest, words int) []byte {
	u, _ := json.Marshal(usageOf(req, words))
	return fmt.Appendf(nil, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[],\"usage\":%s}\n\n", req.Model, u)
}

func wholeAnswer(req ChatRequest, words []string) []byte {
	type choice struct {
		Index        int     `json:"index"`
		Message      Message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	body, _ := json.Marshal(struct {
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{"chat.completion", req.Model,
		[]choice{{0, Message{Role: "assistant", Content: strings.Join(words, "")}, "stop"}}, usageOf(req, len(words))})
	return body
}
