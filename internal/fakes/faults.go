// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/pkg/config"
)

// Faults are the faults that a fake injects. The zero value injects none.
type Faults struct {
	// Down makes the fake refuse every call with status 503 before the call has any effect.
	Down bool `json:"down"`
	// Delay is added to the duration of every call of Objects and Plain.
	Delay config.Span `json:"delay"`
	// SilentWatch makes Objects end every watch without a change, whatever was written.
	SilentWatch bool `json:"silentWatch"`
	// StaleWatch makes Objects answer every watch at once with the first value of the object.
	StaleWatch bool `json:"oldWatch"`
	// ResponseLossRate is the share, 0 to 1, of writes to Objects whose response is lost
	// after the write took effect.
	ResponseLossRate float64 `json:"loseAnswers"`
	// FailureRate is the share, 0 to 1, of runs of Engine and Plain that fail.
	FailureRate float64 `json:"fail"`
	// DisconnectAfter makes Engine close the connection after this many chunks of an answer;
	// 0 for never.
	DisconnectAfter int `json:"cutAfter"`
	// TruncateAfter makes Engine end an answer after this many chunks as if it were complete;
	// 0 for never.
	TruncateAfter int `json:"endEarly"`
	// Unframed makes Engine send answers with neither a length nor chunks, which end with their
	// connection.
	Unframed bool `json:"unframed"`
	// Raw makes Engine and Plain answer runs with these bytes, and end the connection after them; empty for answers of
	// their own.
	Raw string `json:"raw"`
	// Reset makes the connection end with a reset after Raw.
	Reset bool `json:"reset"`
	// Slowdown multiplies the time of every step of Engine; values below 1, such as 0, count as 1.
	Slowdown float64 `json:"slow"`
}

// faultInjector holds the faults in force and the random source that decides which calls fail.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	rnd    *rand.Rand
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults in force. Runs and watches that have started keep the earlier ones.
func (b *faultInjector) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

func (b *faultInjector) current() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// draw returns true with probability p.
func (b *faultInjector) draw(p float64) bool {
	if p <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rnd.Float64() < p
}

// handleFaults serves /faults, which sets the faults in force, and reports whether the request was
// for that path.
func (b *faultInjector) handleFaults(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != "/faults" {
		return false
	}
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	b.Set(f)
	return true
}

// sendRaw sends f.Raw in place of an answer.
func sendRaw(ctx *fasthttp.RequestCtx, f Faults) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if tcp, ok := c.(interface{ UnsafeConn() net.Conn }).UnsafeConn().(*net.TCPConn); ok && f.Reset {
			_ = tcp.SetLinger(0)
		}
		_, _ = io.WriteString(c, f.Raw)
	})
}

// sleep waits for s; it returns at once if s is not positive.
func sleep(s config.Span) {
	if s > 0 {
		time.Sleep(time.Duration(s))
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
