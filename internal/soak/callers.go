// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/internal/rig"
	"github.com/traildrift/traildrift/pkg/fault"
)

// requestTimeout is answerWithin in settings, the time after which a request's deadline passes at
// the entry. Callers wait that long for a ticket and twice as long for other answers.
const requestTimeout = 4 * time.Second

// outcomes holds the outcomes of all requests for one work item, that is for one request body
// or prompt. Reports of violations print the struct with its field names.
type outcomes struct {
	// key is the idempotency key, the caller's own or a ticket; empty without one.
	key string
	// request is the request ID of the last whole answer.
	request string
	// at is the time at which the first whole answer was received; the run that is billed had
	// ended by then, and later answers repeat it. The counts are of whole answers, errors with
	// run state notRun, other errors, and requests without an answer.
	at                              time.Time
	whole, notRun, unsure, noAnswer int
}

// tally collects the outcomes of all requests. Its methods may be called concurrently.
type tally struct {
	mu sync.Mutex
	// notes and chats hold the outcomes by work item. Notes may not be repeated, chats may.
	notes, chats map[string]*outcomes
	// errors counts failures by kind and run state.
	errors map[string]int
	// sent is the number of requests that have ended, with or without an answer.
	sent int
	// wrong describes the answers whose content was wrong.
	wrong []string
}

// add records the outcome of one request for a work item in m, which is notes or chats.
func (a *tally) add(m map[string]*outcomes, work, key string, got drive.Answer, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	t := m[work]
	if t == nil {
		t = &outcomes{key: key}
		m[work] = t
	}
	switch {
	case got.Err != nil:
		a.errors[drive.ErrorName(got.Err)]++
		if got.Err.Run == fault.NotRun {
			t.notRun++
		} else {
			t.unsure++
		}
	case err != nil:
		a.errors["noAnswer"]++
		t.noAnswer++
	case got.InvalidReason != "":
		a.wrong = append(a.wrong, fmt.Sprintf("%s: %s", work, got.InvalidReason))
	case got.Status != fasthttp.StatusOK:
		// An error status of the service itself, passed on: the run state is not known.
		a.errors[fmt.Sprint("status ", got.Status)]++
		t.unsure++
	default:
		t.whole++
		t.request = got.RequestID
		if t.at.IsZero() || got.Done.Before(t.at) {
			t.at = got.Done
		}
	}
}

// caller sends requests for one work item after the other until the deadline.
type caller struct {
	f     *rig.Fleet
	rnd   *rand.Rand
	tally *tally
	id    int
	// busiest is that of the injector.
	busiest *atomic.Int64
}

func (c *caller) run(until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		work := fmt.Sprintf("work %d %d", c.id, i)
		switch c.rnd.IntN(4) {
		case 0:
			c.chat(work)
		case 1:
			c.note(work, "")
		case 2:
			c.note(work, fmt.Sprintf("key %d %d", c.id, i))
		default:
			c.note(work, c.ticket())
		}
		time.Sleep(time.Duration(c.rnd.IntN(20)) * time.Millisecond)
	}
}

// anyEntry returns a caller of a random entry.
func (c *caller) anyEntry() *drive.Caller {
	if n := c.busiest.Load(); n > 0 && c.rnd.IntN(10) > 0 {
		return c.f.Caller(int(n)-1, soakKey)
	}
	return c.f.Caller(c.rnd.IntN(len(c.f.Entries)), soakKey)
}

func (c *caller) chat(work string) {
	ask := drive.Request{
		Chat:     fakes.ChatRequest{Model: "tags", Messages: []fakes.Message{{Role: "user", Content: work}}, MaxTokens: 1 + c.rnd.IntN(30), Stream: c.rnd.IntN(2) == 0},
		Deadline: time.Now().Add(2 * requestTimeout),
	}
	got, err := c.anyEntry().Do(ask)
	c.tally.add(c.tally.chats, work, "", got, err)
}

// note sends a service call that may not be repeated. With a key it sends the call one to three
// times, to random entries, some at the same time and some one after the other.
func (c *caller) note(work, key string) {
	times := 1
	if key != "" {
		times += c.rnd.IntN(3)
	}
	var wg sync.WaitGroup
	for range times {
		ask := drive.Request{Path: "/svc/notes/lodge", Body: work, Header: map[string]string{}, Deadline: time.Now().Add(2 * requestTimeout)}
		if key != "" {
			ask.Header["Idempotency-Key"] = key
		}
		to := c.anyEntry()
		wg.Add(1)
		go func() {
			defer wg.Done()
			got, err := to.Do(ask)
			c.tally.add(c.tally.notes, work, key, got, err)
		}()
		if c.rnd.IntN(2) == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
}

// ticket requests a ticket, and returns "" if none was issued. The call is then sent without a
// key.
func (c *caller) ticket() string {
	got, err := c.anyEntry().Do(drive.Request{Path: "/v1/tickets", Deadline: time.Now().Add(requestTimeout)})
	if err != nil {
		return ""
	}
	var out struct {
		Ticket string `json:"ticket"`
	}
	_ = json.Unmarshal(got.Body, &out)
	return out.Ticket
}
