// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Command stage2 plays the cases of the second review: it holds the stand-ins of the platform, its runners and its callers,
// and starts the routers and the runners as processes. It is started at the root of the repository.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// record is the record of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// stage is what all cases have.
type stage struct {
	*record
	// dir is a temporary folder, and trouble says that the disruption is played.
	dir     string
	trouble bool
	store   *store
	mu      sync.Mutex
	started []*process
}

// add notes a process that is to be ended with the case.
func (s *stage) add(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = append(s.started, p)
}

// end ends all processes.
func (s *stage) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.started {
		p.kill()
	}
}

// cases are the cases by name. Each returns the number of times that the rule was broken.
var cases = map[string]func(s *stage) (broken int, err error){
	"reborn": playReborn,
	"crowd":  playCrowd,
	"burst":  playBurst,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 3 && args[0] == "runner" {
		if err := serveRunner(args[1], args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notPlayed
		}
		return ruleHeld
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE FOLDER")
		return notPlayed
	}
	return play(cases[args[0]], args[1])
}

// play plays a case and writes its record to a folder.
func play(fn func(s *stage) (int, error), folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "stage2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &stage{record: &record{w: out, began: time.Now()}, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.end()
		os.Exit(notPlayed)
	}()
	if s.store, err = newStore(); err != nil {
		s.line("not played: %v", err)
		return notPlayed
	}
	broken, err := fn(s)
	switch {
	case err != nil:
		s.line("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	case broken > 0:
		s.line("the rule was broken %d times", broken)
		return ruleBroken
	default:
		s.line("the rule held")
		return ruleHeld
	}
}
