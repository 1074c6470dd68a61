// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/store"
)

// Objects is a fake of the platform's object API and VM list.
type Objects struct {
	*faultInjector
	// mu guards the fields below.
	mu sync.Mutex
	// objects holds the objects by kind/name.
	objects map[string]store.Object
	// firstValues holds the first value of each object, by kind/name, for Faults.StaleWatch.
	firstValues map[string]store.Object
	// lastVersion is the version of the last write; it only grows.
	lastVersion int64
	// changed is closed and replaced at each write, which wakes the waiting watches.
	changed chan struct{}
	vms     []store.VM
	// calls counts the calls by kind, bytes the bytes of values written and read by get.
	calls map[string]int64
	bytes int64
}

// NewObjects returns an empty store whose faults are drawn from seed.
func NewObjects(seed uint64) *Objects {
	return &Objects{
		faultInjector: newFaultInjector(seed),
		objects:       make(map[string]store.Object),
		firstValues:   make(map[string]store.Object),
		changed:       make(chan struct{}),
		calls:         make(map[string]int64),
	}
}

// SetVMs replaces the VM list by a copy of vms.
func (o *Objects) SetVMs(vms []store.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.vms = append([]store.VM(nil), vms...)
}

// Calls returns the number of calls of each kind (get, put, list, watch, vms), and the bytes of
// values written by put and read by get.
func (o *Objects) Calls() (calls map[string]int64, bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	calls = make(map[string]int64, len(o.calls))
	for k, n := range o.calls {
		calls[k] = n
	}
	return calls, o.bytes
}

// Handle serves one HTTP call.
func (o *Objects) Handle(ctx *fasthttp.RequestCtx) {
	if o.handleFaults(ctx) {
		return
	}
	path := string(ctx.URI().PathOriginal())
	if path == "/calls" {
		calls, n := o.Calls()
		writeJSON(ctx, map[string]any{"calls": calls, "bytes": n})
		return
	}
	f := o.current()
	sleep(f.Delay)
	if f.Down {
		ctx.Error("fake object API: unavailable by an injected fault", fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == "/v1/vms":
		o.serveVMs(ctx)
	case strings.HasPrefix(path, "/v1/watch/"):
		o.serveWatch(ctx, key(path, "/v1/watch/"), f)
	case strings.HasPrefix(path, "/v1/objects/"):
		o.serveObject(ctx, key(path, "/v1/objects/"), f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// key returns the key kind/name of the object in a path behind prefix, unescaped.
func key(path, prefix string) string {
	kind, name, _ := strings.Cut(strings.TrimPrefix(path, prefix), "/")
	k, _ := url.PathUnescape(kind)
	n, _ := url.PathUnescape(name)
	return k + "/" + n
}

// count counts a call and the bytes of the value that it wrote or read. The caller holds o.mu.
func (o *Objects) count(call string, n int) {
	o.calls[call]++
	o.bytes += int64(n)
}

func (o *Objects) serveVMs(ctx *fasthttp.RequestCtx) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count("vms", 0)
	writeJSON(ctx, o.vms)
}

func (o *Objects) serveObject(ctx *fasthttp.RequestCtx, key string, f Faults) {
	switch {
	case ctx.IsPut():
		o.put(ctx, key, f)
	case strings.HasSuffix(key, "/"):
		o.list(ctx, key+string(ctx.QueryArgs().Peek("prefix")))
	default:
		o.mu.Lock()
		defer o.mu.Unlock()
		obj, ok := o.objects[key]
		o.count("get", len(obj.Value))
		writeObject(ctx, obj, ok)
	}
}

func writeObject(ctx *fasthttp.RequestCtx, obj store.Object, ok bool) {
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(store.VersionHeader, strconv.FormatInt(obj.Version, 10))
	ctx.SetBody(obj.Value)
}

// list answers with all objects whose key begins with prefix, ordered by name.
func (o *Objects) list(ctx *fasthttp.RequestCtx, prefix string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := store.Listing{Items: []store.Object{}}
	for k, obj := range o.objects {
		if strings.HasPrefix(k, prefix) {
			l.Items = append(l.Items, obj)
		}
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Name < l.Items[j].Name })
	o.count("list", 0)
	writeJSON(ctx, l)
}

// put writes an object if the If-Match header holds its version; 0 or no header for a new object.
func (o *Objects) put(ctx *fasthttp.RequestCtx, key string, f Faults) {
	value := append([]byte(nil), ctx.PostBody()...)
	if len(value) > store.MaxValueBytes {
		ctx.Error("the value is larger than the maximum size", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	o.mu.Lock()
	o.count("put", len(value))
	old := o.objects[key]
	want, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), 10, 64)
	if old.Version != want {
		o.mu.Unlock()
		ctx.Error("the object has another version", fasthttp.StatusPreconditionFailed)
		return
	}
	o.lastVersion++
	_, name, _ := strings.Cut(key, "/")
	o.objects[key] = store.Object{Name: name, Version: o.lastVersion, Value: value}
	version := o.lastVersion
	if _, ok := o.firstValues[key]; !ok {
		o.firstValues[key] = o.objects[key]
	}
	close(o.changed)
	o.changed = make(chan struct{})
	o.mu.Unlock()
	if o.draw(f.ResponseLossRate) {
		ctx.Error("fake object API: response lost by an injected fault", fasthttp.StatusGatewayTimeout)
		return
	}
	ctx.Response.Header.Set(store.VersionHeader, strconv.FormatInt(version, 10))
}

// serveWatch answers with the object as soon as its version differs from the parameter since, or
// with status 304 at the time until. A missing or invalid until stands for 10 s from now.
func (o *Objects) serveWatch(ctx *fasthttp.RequestCtx, key string, f Faults) {
	since, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("since")), 10, 64)
	until, err := time.Parse(time.RFC3339Nano, string(ctx.QueryArgs().Peek("until")))
	if err != nil {
		until = time.Now().Add(10 * time.Second)
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	o.mu.Lock()
	o.count("watch", 0)
	o.mu.Unlock()
	for {
		o.mu.Lock()
		obj, ok := o.objects[key]
		if f.StaleWatch {
			obj, ok = o.firstValues[key]
			since = -1
		}
		changed := o.changed
		o.mu.Unlock()
		if ok && obj.Version != since && !f.SilentWatch {
			writeObject(ctx, obj, true)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
	}
}
