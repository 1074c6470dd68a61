// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Command stage plays the cases of the review: it starts routers as the deploy file does, and stand-ins for the
// platform's store, runners and callers, and checks what these saw against a rule.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// stage is a deployment under test.
type stage struct {
	rec     *record
	dir     string
	trouble bool
	// calm is how long the routers serve before the disruption.
	calm  time.Duration
	store *store
	// link is what the routers have for the store's address.
	link    *proxy
	routers []*router
	runners []*runner
	runs    arrivals
	calls   calls
	stop    chan struct{}
	tasks   sync.WaitGroup
}

// cases holds the cases by name. Each returns what broke the rule, or an error if it could not run.
var cases = map[string]func(s *stage) (broken []string, err error){
	"drain": (*stage).drain,
	"path":  (*stage).path,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", ".", "folder for record.txt")
	program := flag.String("program", "target/traildrift", "the system's program")
	template := flag.String("template", "platform/router.yaml.tmpl", "template of the settings file")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	fleet := flag.Int("routers", 4, "number of routers")
	calm := flag.Duration("calm", 8*time.Second, "how long the routers serve before the disruption")
	flag.Parse()
	os.Exit(play(&stage{trouble: *trouble, calm: *calm, stop: make(chan struct{})}, *name, *out, *program, *template, *fleet))
}

func play(s *stage, name, out, program, template string, fleet int) int {
	rec, err := newRecord(filepath.Join(out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("STAGE_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	s.rec, s.dir = rec, dir
	defer s.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.end()
		os.Exit(exitFailed)
	}()
	if err := s.prepare(program, template, fleet); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := run(s)
	if err != nil {
		rec.add("check", "the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	for _, line := range broken {
		rec.add("check", "%s", line)
	}
	if len(broken) > 0 {
		rec.add("check", "the rule was broken")
		fmt.Printf("broken: %s\n", broken[len(broken)-1])
		return exitBroken
	}
	rec.add("check", "the rule held")
	fmt.Println("held")
	return exitHeld
}

// service is the plain service of all routes.
const service = "mapcore"

// zones are the availability zones of the deployment.
var zones = []string{"akl-a", "akl-b", "ham-a", "wlg-a"}

// prepare starts the store and the plain runners, and prepares the routers.
func (s *stage) prepare(program, template string, fleet int) error {
	a, b := byte(1+os.Getpid()/200%200), byte(1+os.Getpid()%200)
	s.store = newStore(s.rec)
	s.link = newProxy("127.0.0.1", s.store.addr())
	s.store.put("config", "main", configuration(1, keys))
	for i := range 4 {
		r := newRunner(s.rec, &s.runs, fmt.Sprintf("i-%08x", 0x5eed0000+i), service, zones[i], 15*time.Millisecond)
		s.runners = append(s.runners, r)
		s.store.put("servers", r.id, r.entry("ready"))
	}
	for i := range fleet {
		ip := fmt.Sprintf("127.%d.%d.%d", a, b, 10+i)
		zone := zones[i%len(zones)]
		r, err := newRouter(s.rec, s.dir, program, template, fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, ip, s.link.addr())
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	return nil
}

// keys are the API keys of the tenants at first.
var keys = []string{"k-conveyancers", "k-councils"}

// route returns a route of the configuration.
func route(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": host, "path_prefix": prefix, "service": service, "kind": kind,
		"timeout_ms": 800, "target_latency_ms": 100, "max_attempts": attempts, "priority": 2, "allow_anonymous": false, "session_affinity": false}
}

// configuration returns a version of the operator's configuration in which these API keys are valid. It has more
// routes than the usual ones.
func configuration(version int, valid []string, more ...any) map[string]any {
	var tenants []map[string]any
	for _, key := range valid {
		tenants = append(tenants, map[string]any{"name": "t" + key[1:], "api_keys": []string{key}, "priority": 0})
	}
	return map[string]any{
		"version": version, "routes": append([]any{route("parcel-lookup", "/parcel-lookup/", "unsafe", 1), route("tile-fetch", "/tile-fetch/", "safe", 2)}, more...),
		"services": []any{map[string]any{"name": service}}, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	}
}

// startRouters starts all routers and the platform's questions for their readiness, and waits until all are ready.
func (s *stage) startRouters() error {
	for _, r := range s.routers {
		if err := r.start(); err != nil {
			return err
		}
		s.task(func() { r.balance(s.stop) })
	}
	for until := time.Now().Add(15 * time.Second); ; {
		in := 0
		for _, r := range s.routers {
			if r.in.Load() {
				in++
			}
		}
		if in == len(s.routers) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d routers are ready after 15 s", in, len(s.routers))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *stage) task(run func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		run()
	}()
}

// startCallers starts some callers of each router, who send the requests that turn returns.
func (s *stage) startCallers(each int, pause time.Duration, turn func(n int) (method, path, key string)) {
	for _, r := range s.routers {
		for range each {
			c := newCaller(s.rec, &s.calls, r)
			s.task(func() { c.run(s.stop, pause, turn) })
		}
	}
}

// quiet stops the callers.
func (s *stage) quiet() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.tasks.Wait()
}

// end ends all processes and stand-ins.
func (s *stage) end() {
	s.quiet()
	for _, r := range s.routers {
		r.kill()
	}
	if s.link != nil {
		s.link.close()
	}
	for _, r := range s.runners {
		r.srv.CloseClientConnections()
		r.srv.Close()
	}
	if s.store != nil {
		s.store.srv.CloseClientConnections()
		s.store.srv.Close()
	}
}

// served returns the number of requests that were answered with success before and after a time.
func (s *stage) served(at time.Time) (before, after int) {
	for _, c := range s.calls.all() {
		switch {
		case c.status != 200:
		case c.sentAt.Before(at):
			before++
		default:
			after++
		}
	}
	return before, after
}
