// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// File is the tree as operators write it in YAML.
type File struct {
	Models     map[string]Model         `yaml:"models"`
	Services   map[string]Service       `yaml:"services,omitempty"`
	Values     Values                   `yaml:"values,omitempty"`
	Workspaces map[string]WorkspaceNode `yaml:"workspaces"`
}

// WorkspaceNode is a workspace in a File.
type WorkspaceNode struct {
	// KeyHashes holds the hashes of the workspace's API keys; see APIKeyHash.
	KeyHashes []string                `yaml:"keyHashes"`
	Values    Values                  `yaml:"values,omitempty"`
	Workloads map[string]WorkloadNode `yaml:"workloads,omitempty"`
}

// WorkloadNode is a workload in a File.
type WorkloadNode struct {
	// Serves is ServesChat, empty for the same, or the name of a plain service.
	Serves    string                  `yaml:"serves,omitempty"`
	Values    Values                  `yaml:"values,omitempty"`
	Districts map[string]DistrictNode `yaml:"districts,omitempty"`
}

// DistrictNode is a district in a File.
type DistrictNode struct {
	Values Values `yaml:"values,omitempty"`
}

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line counts from 1; it is 1 also where the line is not known.
	Line int
	// Key is the dotted path of the key, such as values.answerWithin. For a
	// syntax error or an unknown key it is the token that the parser names.
	Key string
	// Message says what is wrong and what is allowed.
	Message string
}

// Error returns file, line, key and message.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Problems lists all errors in a settings file.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes one YAML document into dst, which must be a pointer to a
// struct; name is the file name in errors. The error is Problems and lists all
// unknown keys and values of a wrong type with their lines. With an error, dst
// still holds the scalar values of the top level that decoded.
func Decode(name string, text []byte, dst any) error {
	err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(dst)
	if err == nil {
		return nil
	}
	var ps Problems
	var yerr yaml.Error
	if asYAML(err, &yerr) && yerr.GetToken() != nil {
		t := yerr.GetToken()
		ps = append(ps, Problem{File: name, Line: t.Position.Line, Key: t.Value, Message: yerr.GetMessage()})
	}
	for _, l := range NewLines(text).leaves() {
		if msg := l.decode(dst); msg != "" && (len(ps) == 0 || ps[0].Line != l.line) {
			ps = append(ps, Problem{File: name, Line: l.line, Key: strings.Join(l.keys, "."), Message: msg})
		}
	}
	if len(ps) == 0 {
		ps = Problems{{File: name, Line: 1, Key: "(document)", Message: err.Error()}}
	}
	return ps
}

// leaf is one value of a document that is not a mapping with entries.
type leaf struct {
	// keys are the nested keys of the value, from the top level down.
	keys []string
	// line is the line of the innermost key, counted from 1.
	line int
	// text is the value as YAML.
	text string
}

// leaves returns the leaves of the document in order.
func (l Lines) leaves() []leaf { return appendLeaves(nil, l.root, nil) }

func appendLeaves(dst []leaf, n ast.Node, keys []string) []leaf {
	for _, e := range entriesOf(n) {
		t := e.Key.GetToken()
		at := append(slices.Clone(keys), t.Value)
		if len(entriesOf(e.Value)) > 0 {
			dst = appendLeaves(dst, e.Value, at)
			continue
		}
		dst = append(dst, leaf{keys: at, line: t.Position.Line, text: e.Value.String()})
	}
	return dst
}

// decode decodes a document that consists of the leaf alone and returns the error
// message, or "". A leaf of the top level is decoded into dst, so that the caller
// can still check the valid ones. A nested leaf is decoded into a new value, as in
// dst it would overwrite the other keys of its parent.
func (l leaf) decode(dst any) string {
	var doc strings.Builder
	for depth, key := range l.keys {
		fmt.Fprintf(&doc, "%s%q:", strings.Repeat(" ", depth), key)
		if depth < len(l.keys)-1 {
			doc.WriteString("\n")
		}
	}
	doc.WriteString(" " + l.text + "\n")
	if len(l.keys) > 1 {
		dst = reflect.New(reflect.TypeOf(dst).Elem()).Interface()
	}
	err := yaml.NewDecoder(strings.NewReader(doc.String()), yaml.Strict()).Decode(dst)
	if err == nil {
		return ""
	}
	var yerr yaml.Error
	if asYAML(err, &yerr) {
		return yerr.GetMessage()
	}
	return err.Error()
}

// asYAML finds the first yaml.Error that err wraps and stores it in dst.
func asYAML(err error, dst *yaml.Error) bool {
	for err != nil {
		if e, ok := err.(yaml.Error); ok {
			*dst = e
			return true
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}

// Lines finds the lines of keys in a YAML document, counted from 1.
type Lines struct {
	root ast.Node
}

// NewLines returns the lines of a document. If text does not parse, every key has
// line 1.
func NewLines(text []byte) Lines {
	f, err := parser.ParseBytes(text, 0)
	if err != nil || len(f.Docs) == 0 {
		return Lines{}
	}
	return Lines{root: f.Docs[0].Body}
}

// Of returns the line of a nested key, whose keys are given from the top level
// down. If the document lacks it, Of returns the line of the innermost one that it
// has, or 1.
func (l Lines) Of(keys ...string) int {
	line := 1
	n := l.root
	for _, key := range keys {
		n = child(n, key, &line)
	}
	return line
}

// entriesOf returns the entries of a mapping, or nil for any other node.
func entriesOf(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	default:
		return nil
	}
}

// child returns the value of key in the mapping n and stores the line of key in
// line. It returns nil and does not change line if n has no such key.
func child(n ast.Node, key string, line *int) ast.Node {
	for _, e := range entriesOf(n) {
		if t := e.Key.GetToken(); t.Value == key {
			*line = t.Position.Line
			return e.Value
		}
	}
	return nil
}

// ParseFile decodes and checks a whole tree; name is the file name in errors. The
// error is Problems.
func ParseFile(name string, text []byte) (File, error) {
	var f File
	if err := Decode(name, text, &f); err != nil {
		return f, err
	}
	c := checker{name: name, lines: NewLines(text)}
	c.checkFile(f)
	if len(c.problems) > 0 {
		return f, c.problems
	}
	return f, nil
}

// Nodes returns the nodes of the tree by path.
func (f File) Nodes() map[string]Node {
	out := map[string]Node{"": {Models: f.Models, Services: f.Services, Values: f.Values}}
	for ws, w := range f.Workspaces {
		out[Path(ws)] = Node{KeyHashes: w.KeyHashes, Values: w.Values}
		for wl, l := range w.Workloads {
			out[Path(ws, wl)] = Node{Serves: l.Serves, Values: l.Values}
			for d, n := range l.Districts {
				out[Path(ws, wl, d)] = Node{Values: n.Values}
			}
		}
	}
	return out
}

// FileOf returns the tree of nodes as a File. It is the inverse of File.Nodes if
// every node has its parent in nodes. A parent that is missing becomes an empty node.
func FileOf(nodes map[string]Node) File {
	fleet := nodes[""]
	f := File{Models: fleet.Models, Services: fleet.Services, Values: fleet.Values, Workspaces: map[string]WorkspaceNode{}}
	for _, path := range slices.Sorted(maps.Keys(nodes)) {
		n := nodes[path]
		p := strings.Split(path, "/")
		switch LevelOf(path) {
		case LevelWorkspace:
			f.Workspaces[p[0]] = WorkspaceNode{KeyHashes: n.KeyHashes, Values: n.Values, Workloads: map[string]WorkloadNode{}}
		case LevelWorkload:
			f.workspace(p[0]).Workloads[p[1]] = WorkloadNode{Serves: n.Serves, Values: n.Values, Districts: map[string]DistrictNode{}}
		case LevelDistrict:
			f.workload(p[0], p[1]).Districts[p[2]] = DistrictNode{Values: n.Values}
		}
	}
	return f
}

// workspace returns a workspace, which it adds if it is missing.
func (f File) workspace(ws string) WorkspaceNode {
	w, ok := f.Workspaces[ws]
	if !ok {
		w = WorkspaceNode{Workloads: map[string]WorkloadNode{}}
		f.Workspaces[ws] = w
	}
	return w
}

// workload returns a workload, which it adds with its workspace if it is missing.
func (f File) workload(ws, workload string) WorkloadNode {
	w := f.workspace(ws)
	l, ok := w.Workloads[workload]
	if !ok {
		l = WorkloadNode{Districts: map[string]DistrictNode{}}
		w.Workloads[workload] = l
	}
	return l
}
