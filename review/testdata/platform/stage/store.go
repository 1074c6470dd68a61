// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the metadata of a stored object.
type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is a stored object.
type object struct {
	Meta   meta            `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// change is an event of a kind.
type change struct {
	kind string
	event
}

// store is a stand-in for the platform's store. It keeps the whole history, and its answers are linearizable.
type store struct {
	rec *record
	srv *httptest.Server
	mu  sync.Mutex
	// revision is the number of the last change; changed is closed and replaced at each one.
	revision int64
	objects  map[string]map[string]object
	log      []change
	changed  chan struct{}
}

const (
	// storeDelay is the time that the store takes for an answer, pageSize the number of objects in one.
	storeDelay = 4 * time.Millisecond
	pageSize   = 500
)

func newStore(rec *record) *store {
	s := &store{rec: rec, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	s.srv = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

func (s *store) addr() string { return s.srv.Listener.Addr().String() }

// put writes the spec of an object as the operator or a runner does, and returns when the store has taken it.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Meta.Name, o.Spec = name, text
	s.change(kind, o, false)
	return s.rec.add("store", "%s/%s is %s, revision %d", kind, name, short(text), s.revision)
}

// remove removes an object and returns when.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(kind, s.objects[kind][name], true)
	return s.rec.add("store", "%s/%s is removed, revision %d", kind, name, s.revision)
}

// change stores a change; mu is held.
func (s *store) change(kind string, o object, removed bool) {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.CreateRev == 0 {
		o.Meta.CreateRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Meta.Name] = o
	if removed {
		delete(s.objects[kind], o.Meta.Name)
	}
	s.log = append(s.log, change{kind, event{o, removed}})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch q := r.URL.Query(); {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], q.Get("since_revision"))
	case r.Method == http.MethodGet && len(parts) == 2:
		s.read(w, parts[0], parts[1])
	default:
		s.write(w, r, parts)
	}
}

func (s *store) read(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items     []object `json:"items"`
		Truncated bool     `json:"truncated"`
		AsOf      int64    `json:"as_of"`
	}{Items: []object{}, AsOf: s.revision}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for i, name := range names {
		if i == pageSize {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, s.objects[kind][name])
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		got := struct {
			Events []event `json:"events"`
			AsOf   int64   `json:"as_of"`
		}{Events: []event{}, AsOf: s.revision}
		for _, c := range s.log {
			if c.kind == kind && c.Object.Meta.Revision > since {
				got.Events = append(got.Events, c.event)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(got.Events) > 0 {
			_ = json.NewEncoder(w).Encode(got)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_ = json.NewEncoder(w).Encode(got)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write creates, replaces or removes an object as routers do.
func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else if text := r.URL.Query().Get("revision"); text != "" {
		in.Meta.Revision, _ = strconv.ParseInt(text, 10, 64)
	}
	name := in.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[parts[0]][name]
	create := r.Method == http.MethodPost
	switch {
	case create == known || in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(o)
		return
	case r.Method == http.MethodDelete:
		s.change(parts[0], o, true)
		return
	case len(parts) == 3:
		o.Status = in.Status
	default:
		o.Meta.Name, o.Spec, o.Meta.Finalizers = name, in.Spec, in.Meta.Finalizers
	}
	s.change(parts[0], o, false)
	s.rec.add("store", "%s %s, revision %d", r.Method, r.URL.Path, s.revision)
	o = s.objects[parts[0]][name]
	if create {
		w.WriteHeader(http.StatusCreated)
	}
	_ = json.NewEncoder(w).Encode(o)
}
