// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"time"
)

// router is a process of the system, started with the command of the deploy file.
type router struct {
	name, zone, ip         string
	listen, readiness      string
	program, settings, log string
	rec                    *record
	cmd                    *exec.Cmd
	out                    *os.File
	ended                  chan struct{}
	// in says that the platform gives the router new connections.
	in atomic.Bool
}

// bounds are those of the site kst-mapview.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_period_s": 8,
	"loss_slack_ms": 200, "config_deadline_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "enforce_revocation": true,
	"revoke_ms": 5000, "retry_budget_ratio": 0.9, "budget_window_s": 10, "retry_budget_slack": 58, "expose_share": 0.15,
	"expose_slack": 30, "rollback_ms": 5000, "recovery_s": 12, "pass_ms": 120, "again_s": 8.9, "session_s": 5,
}

// region is that of all availability zones.
const region = "aotearoa-north"

// newRouter prepares a router on a loopback address of its own. template is the deploy file's, and store the address
// that the router has for the platform's store.
func newRouter(rec *record, dir, program, template, name, zone, ip, store string) (*router, error) {
	r := &router{name: name, zone: zone, ip: ip, program: program, rec: rec}
	var ports []int
	for range 4 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	r.listen, r.readiness = fmt.Sprint(ip, ":", ports[0]), fmt.Sprint(ip, ":", ports[1])
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	filled := fill(string(text), map[string]any{
		"node_name": name, "zone": zone, "ip": ip, "ephemeral_ports": []any{ports[2], ports[2] + 15}, "bootstrap": true,
		"zones":      map[string]any{"akl-a": region, "akl-b": region, "ham-a": region, "wlg-a": region},
		"invariants": []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"listen":     map[string]any{"http": r.listen, "readiness": r.readiness},
		"limits":     map[string]any{"cpu_share": 0.304, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100},
		"provider":   map[string]any{"address": store, "form": "objects"},
		"bounds":     bounds,
	})
	// All routers run on one host here, so each listens for metrics on its own address.
	filled = strings.Replace(filled, `"0.0.0.0:9464"`, fmt.Sprintf(`"%s:%d"`, ip, ports[3]), 1)
	r.settings = filepath.Join(dir, name+".yaml")
	r.log = filepath.Join(dir, name+".log")
	return r, os.WriteFile(r.settings, []byte(filled), 0o600)
}

var section = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}`)

// fill fills the gaps of a settings template as the platform does.
func fill(text string, values map[string]any) string {
	for {
		at := section.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		name := text[at[4]:at[5]]
		end := "{{/" + name + "}}"
		stop := strings.Index(text[at[1]:], end) + at[1]
		inner := text[at[1]:stop]
		if v := lookup(values, name); (v != nil && v != false) != (text[at[2]:at[3]] == "#") {
			inner = ""
		}
		text = text[:at[0]] + inner + text[stop+len(end):]
	}
	return gap.ReplaceAllStringFunc(text, func(s string) string {
		m := gap.FindStringSubmatch(s)
		v := lookup(values, m[1])
		if m[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

var gap = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// lookup returns the value at a path such as a.b or a.0; nil if there is none.
func lookup(values map[string]any, path string) any {
	var v any = values
	for part := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[part]
		case []any:
			if part != "0" {
				return nil
			}
			v = t[0]
		default:
			return nil
		}
	}
	return v
}

// start starts the process.
func (r *router) start() error {
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.out = out
	r.cmd = exec.Command(r.program, "router")
	r.cmd.Env = []string{"TRAILDRIFT_NODE_FILE=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.rec.add(r.name, "started")
	cmd, ended := r.cmd, make(chan struct{})
	r.ended = ended
	go func() {
		defer close(ended)
		r.rec.add(r.name, "ended: %v", cmd.Wait())
	}()
	return nil
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	<-r.ended
	_ = r.out.Close()
}

// ready asks the router whether it takes new connections.
func (r *router) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// balance asks for the readiness once a second as the platform does, until stop is closed. A router is taken out after
// two questions in a row without a 200.
func (r *router) balance(stop <-chan struct{}) {
	misses := 0
	for {
		if r.ready() {
			misses = 0
			if !r.in.Swap(true) {
				r.rec.add("platform", "%s gets new connections", r.name)
			}
		} else if misses++; misses == 2 && r.in.Swap(false) {
			r.rec.add("platform", "%s gets no new connections", r.name)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
