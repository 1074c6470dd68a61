// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"encoding/json"
	"net"
	"net/http"
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

// event is the change of an object, as a watch tells it.
type event struct {
	kind      string
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// store is the platform's object store in memory. Its history is kept whole, and its answers are linearizable.
type store struct {
	srv *http.Server
	ln  net.Listener
	mu  sync.Mutex
	// revision is that of the last change, and log holds all changes.
	revision int64
	kinds    map[string]map[string]object
	log      []event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

func (s *store) addr() string { return s.ln.Addr().String() }

// put creates an object or replaces its spec, as the operator and the runners do.
func (s *store) put(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Meta.Name, o.Spec = name, text
	s.change(kind, &o, false)
	return o.Meta.Revision
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.change(kind, &o, true)
	}
}

// change records a change of o and sets its revision; mu is held.
func (s *store) change(kind string, o *object, gone bool) {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.CreateRev == 0 {
		o.Meta.CreateRev = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	if gone {
		delete(s.kinds[kind], o.Meta.Name)
	} else {
		s.kinds[kind][o.Meta.Name] = *o
	}
	s.log = append(s.log, event{kind: kind, Object: *o, Tombstone: gone})
	close(s.changed)
	s.changed = make(chan struct{})
}

const objectsPath = "/v1/objects/"

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	q := r.URL.Query()
	switch {
	case !strings.HasPrefix(r.URL.Path, objectsPath):
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], q.Get("since_revision"))
	case r.Method == http.MethodGet && len(parts) == 2:
		s.get(w, parts[0], parts[1])
	default:
		s.write(w, r, parts)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

// pageSize is the largest number of objects in one answer to a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := struct {
		Items     []object `json:"items"`
		Truncated bool     `json:"truncated"`
		AsOf      int64    `json:"as_of"`
	}{Items: []object{}, Truncated: len(names) > pageSize, AsOf: s.revision}
	for _, name := range names[:min(len(names), pageSize)] {
		page.Items = append(page.Items, s.kinds[kind][name])
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(ms, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		changed := s.changed
		got := struct {
			Events []event `json:"events"`
			AsOf   int64   `json:"as_of"`
		}{Events: []event{}, AsOf: s.revision}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Object.Meta.Revision > since; i-- {
			if s.log[i].kind == kind {
				got.Events = append([]event{s.log[i]}, got.Events...)
			}
		}
		s.mu.Unlock()
		if len(got.Events) > 0 || !waiting {
			answer(w, http.StatusOK, got)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	kind, name := parts[0], sent.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	condition := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	create := r.Method == http.MethodPost && len(parts) == 1
	switch {
	case create && ok || ok && condition != 0 && condition != o.Meta.Revision:
		answer(w, http.StatusConflict, o)
		return
	case !create && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case create:
		o = object{Meta: meta{Name: name, Finalizers: sent.Meta.Finalizers}, Spec: sent.Spec}
	case r.Method == http.MethodPut && len(parts) == 3:
		o.Status = sent.Status
	case r.Method == http.MethodPut && len(parts) == 2:
		o.Spec, o.Meta.Finalizers = sent.Spec, sent.Meta.Finalizers
	case r.Method == http.MethodDelete && len(parts) == 2:
		s.change(kind, &o, true)
		answer(w, http.StatusOK, o)
		return
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if old := s.kinds[kind][name]; create || string(old.Spec) != string(o.Spec) || string(old.Status) != string(o.Status) {
		s.change(kind, &o, false)
	}
	answer(w, http.StatusOK, o)
}
