// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"os"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/fakes"
	"github.com/traildrift/traildrift/pkg/config"
)

func TestMain(m *testing.M) {
	Main()
	assert.SetFatal()
	os.Exit(m.Run())
}

// testKey is the API key of the workspace in testSettings.
const testKey = "rig-key"

// testSettings are the settings of most tests: an expensive and a cheap model, and a service
// with a workload whose calls may not be repeated (notes) and one whose calls may (fetch).
var testSettings = `
models:
  deedwriter:
    versions:
      "3": {pool: deedwriter, cost: 12, quality: 0.95}
  mapcore:
    versions:
      "1": {pool: mapcore, cost: 2, quality: 0.8}
services:
  register: {pool: register}
values:
  answerWithin: 20s
workspaces:
  kahurangi:
    keyHashes: ["` + config.APIKeyHash(testKey) + `"]
    values: {allow: [deedwriter, mapcore]}
    workloads:
      history: {values: {qualityTarget: 0.9}}
      tags: {values: {qualityTarget: 0.5}}
      notes: {serves: register, values: {repeatable: false}}
      fetch: {serves: register}
  lima:
    keyHashes: ["` + config.APIKeyHash("lima-key") + `"]
    values: {allow: [mapcore]}
    workloads:
      hints: {}
`

// testPools returns two pools of engines and one of services, with n endpoints each.
func testPools(n int) []Pool {
	engine := fakes.EngineOptions{FirstToken: span("10ms"), PerToken: span("2ms")}
	return []Pool{
		{Name: "deedwriter", Kind: "engine", Endpoints: n, Slots: 16, Waiting: 64, Engine: engine},
		{Name: "mapcore", Kind: "engine", Endpoints: n, Slots: 16, Waiting: 64, Engine: engine},
		{Name: "register", Kind: "service", Endpoints: n, Slots: 16, Waiting: 64, ServiceTime: span("5ms")},
	}
}

// span parses a duration and panics on an error.
func span(text string) config.Span {
	var s config.Span
	if err := s.UnmarshalText([]byte(text)); err != nil {
		panic(err)
	}
	return s
}

// startFleet starts a fleet and closes it at the end of the test. If the test failed, it logs
// the output of every process.
func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Dir = t.TempDir()
	if o.Settings == "" {
		o.Settings = testSettings
	}
	if len(o.Zones) == 0 {
		o.Zones = []string{"akl-a", "akl-b"}
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		if !t.Failed() {
			return
		}
		for _, n := range f.Nodes() {
			t.Logf("%s:\n%s", n.VM.Name, n.Log())
		}
	})
	return f
}

// chat returns a chat request of the given workload.
func chat(workload, text string, streamed bool) drive.Request {
	return drive.Request{
		Chat:     fakes.ChatRequest{Model: workload, Messages: []fakes.Message{{Role: "user", Content: text}}, MaxTokens: 8, Stream: streamed},
		Header:   map[string]string{},
		Deadline: stepDeadline(),
	}
}

// note returns a service call that may not be repeated, with an idempotency key unless key is
// empty.
func note(key, text string) drive.Request {
	a := drive.Request{Path: "/svc/notes/lodge", Body: text, Header: map[string]string{}, Deadline: stepDeadline()}
	if key != "" {
		a.Header["Idempotency-Key"] = key
	}
	return a
}

// stepDeadline returns the deadline of a step of a test that starts now.
func stepDeadline() time.Time { return time.Now().Add(20 * time.Second) }

// maxPromptDelay is how long an answer that is sent at once may take. It distinguishes such an
// answer from one that is delayed until the deadline of the request, 20 s. It is no bound on
// speed, as a busy machine makes answers slower.
const maxPromptDelay = 8 * time.Second
