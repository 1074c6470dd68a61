// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checker collects the problems of one file. Without lines, every problem has
// line 1.
type checker struct {
	name     string
	lines    Lines
	problems Problems
}

// add reports a problem at the nested key that keys names.
func (c *checker) add(keys []string, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File:    c.name,
		Line:    c.lines.Of(keys...),
		Key:     strings.Join(keys, "."),
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkFile(f File) {
	for _, m := range slices.Sorted(maps.Keys(f.Models)) {
		c.checkName([]string{"models", m})
		for _, v := range slices.Sorted(maps.Keys(f.Models[m].Versions)) {
			c.checkVersion([]string{"models", m, "versions", v}, f.Models[m].Versions[v])
		}
	}
	for _, s := range slices.Sorted(maps.Keys(f.Services)) {
		c.checkName([]string{"services", s})
		if f.Services[s].Pool == "" {
			c.add([]string{"services", s, "pool"}, "a pool must be named")
		}
	}
	c.checkValues(f, nil, f.Values)
	hashes := make(map[string]string)
	for _, ws := range slices.Sorted(maps.Keys(f.Workspaces)) {
		c.checkWorkspace(f, ws, hashes)
	}
	if len(c.problems) == 0 {
		c.checkServable(f)
	}
}

func (c *checker) checkName(keys []string) {
	name := keys[len(keys)-1]
	if name == "" || strings.ContainsAny(name, "/@ \t") {
		c.add(keys, "a name without space, / and @ is allowed")
	}
}

func (c *checker) checkVersion(keys []string, v Version) {
	c.checkName(keys)
	if v.Pool == "" {
		c.add(append(keys, "pool"), "a pool must be named")
	}
	if v.Cost < 0 {
		c.add(append(keys, "cost"), "%v is not allowed; allowed: 0 or more", v.Cost)
	}
	if v.Quality < 0 || v.Quality > 1 {
		c.add(append(keys, "quality"), "%v is not allowed; allowed: 0 to 1", v.Quality)
	}
	if e := v.Exposure(); e < 0 || e > 1 {
		c.add(append(keys, "share"), "%v is not allowed; allowed: 0 to 1", e)
	}
	if !slices.Contains([]string{"", StateServing, StateWithdrawn}, v.State) {
		c.add(append(keys, "state"), "%q is not allowed; allowed: %s, %s", v.State, StateServing, StateWithdrawn)
	}
}

// checkWorkspace checks one workspace. The map hashes holds the workspace of each
// API key hash seen so far, as no two workspaces may share a key.
func (c *checker) checkWorkspace(f File, ws string, hashes map[string]string) {
	keyPath := []string{"workspaces", ws}
	c.checkName(keyPath)
	w := f.Workspaces[ws]
	for _, h := range w.KeyHashes {
		if !strings.HasPrefix(h, "sha256:") || len(h) != len(APIKeyHash("")) {
			c.add(append(keyPath, "keyHashes"), "sha256: and 64 hexadecimal digits are allowed")
		}
		if other, ok := hashes[h]; ok {
			c.add(append(keyPath, "keyHashes"), "the key also belongs to workspace %s", other)
		}
		hashes[h] = ws
	}
	c.checkValues(f, keyPath, w.Values)
	for _, wl := range slices.Sorted(maps.Keys(w.Workloads)) {
		c.checkWorkload(f, append(slices.Clone(keyPath), "workloads", wl), w.Workloads[wl])
	}
}

func (c *checker) checkWorkload(f File, keyPath []string, l WorkloadNode) {
	c.checkName(keyPath)
	if _, ok := f.Services[l.Serves]; !ok && l.Serves != "" && l.Serves != ServesChat {
		c.add(append(slices.Clone(keyPath), "serves"), "%q is not allowed; allowed: %s or one of services", l.Serves, ServesChat)
	}
	c.checkValues(f, keyPath, l.Values)
	for _, d := range slices.Sorted(maps.Keys(l.Districts)) {
		districtPath := append(slices.Clone(keyPath), "districts", d)
		c.checkName(districtPath)
		c.checkValues(f, districtPath, l.Districts[d].Values)
	}
}

// checkValues checks the values of the node that keyPath leads to in the file.
func (c *checker) checkValues(f File, keyPath []string, v Values) {
	for _, spec := range settingSpecs {
		if msg := spec.check(v); msg != "" {
			c.add(append(slices.Clone(keyPath), "values", spec.Name), "%s", msg)
		}
	}
	for _, a := range v.Allow {
		if len(Expand(f.Models, []string{a})) == 0 {
			c.add(append(slices.Clone(keyPath), "values", "allow"), "%q names no model or model@version of models", a)
		}
	}
}

// checkServable reports the enabled chat workloads and districts that no version
// can serve: none is allowed, none of the allowed ones is eligible, or none of
// these meets the quality target.
func (c *checker) checkServable(f File) {
	s, err := snapshotOf(f.Nodes())
	if err != nil {
		return
	}
	for _, path := range slices.Sorted(maps.Keys(s.nodes)) {
		p := strings.Split(path, "/")
		if len(p) < 2 || s.Serves(p[0], p[1]) != ServesChat {
			continue
		}
		e := s.effective[path]
		if !*e.Values.Enabled {
			continue
		}
		if msg := unservableReason(e, s.candidates[path]); msg != "" {
			c.add(yamlKeys(path), "%s", msg)
		}
	}
}

// unservableReason returns why none of candidates can serve all requests under e,
// or "". Eligible versions are serving, cost at most maxCost and are fully rolled out.
func unservableReason(e *Effective, candidates []Candidate) string {
	best := -1.0
	serving := 0
	for _, cand := range candidates {
		if cand.Spec.State == StateWithdrawn || cand.Spec.Cost > *e.Values.MaxCost || cand.Spec.Exposure() < 1 {
			continue
		}
		serving++
		best = max(best, cand.Spec.Quality)
	}
	if len(candidates) == 0 {
		return "no version is allowed here"
	}
	if serving == 0 {
		return "every allowed version is withdrawn, dearer than maxCost or not wholly rolled out"
	}
	if best < *e.Values.QualityTarget {
		return fmt.Sprintf("qualityTarget %v cannot be met; the best version has %v", *e.Values.QualityTarget, best)
	}
	return ""
}

// yamlKeys returns the keys of a workload or district in a File.
func yamlKeys(path string) []string {
	p := strings.Split(path, "/")
	out := []string{"workspaces", p[0], "workloads", p[1]}
	if len(p) > 2 {
		out = append(out, "districts", p[2])
	}
	return out
}

// snapshotOf returns a snapshot of nodes as revision 1.
func snapshotOf(nodes map[string]Node) (*Snapshot, error) {
	head := Head{Revision: 1, Nodes: make(map[string]Ref)}
	bodies := make(map[string][]byte)
	for path, n := range nodes {
		body, hash := n.Encode()
		head.Nodes[path] = Ref{Hash: hash, Revision: 1}
		bodies[hash] = body
	}
	return Build(head, bodies)
}

// CheckNodes checks a whole tree that was not read from a file. The error is
// Problems: they carry name as the file, the keys that a File would have, and
// line 1. A node without its parent is a problem, as two edits may make it: one that
// removes the parent and one that adds the node.
func CheckNodes(name string, nodes map[string]Node) error {
	c := checker{name: name}
	for _, path := range slices.Sorted(maps.Keys(nodes)) {
		if _, ok := nodes[Parent(path)]; !ok && Parent(path) != "" {
			c.add(fileKeys(path), "%s, which it belongs to, does not exist", Parent(path))
		}
	}
	c.checkFile(FileOf(nodes))
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

// fileKeys returns the nested keys under which a File has the node of a path.
func fileKeys(path string) (keys []string) {
	levels := []string{"workspaces", "workloads", "districts"}
	for i, name := range strings.Split(path, "/") {
		keys = append(keys, levels[min(i, len(levels)-1)], name)
	}
	return keys
}

// Preview returns the snapshot that nodes would make, as revision 1, without
// checking them. It returns an error if a node does not decode again.
func Preview(nodes map[string]Node) (*Snapshot, error) { return snapshotOf(nodes) }
