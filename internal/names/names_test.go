// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package names

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root = "../.."
	page = root + "/docs/NAMES.md"
)

var update = flag.Bool("update", false, "write docs/NAMES.md anew")

const head = `# Names that leave the process

Operators, clients, stored data and processes of other revisions rely on these names: they stay as they are, or change
with a plan for those who read them. By package: fields of messages and stored objects (json), keys of settings (yaml),
flags (arg), keys of log lines (log), names of metrics (metric), and constants with a text: values, headers, paths,
methods, object names, messages that are matched (const). ` + "`go test ./internal/names -update`" + ` writes the page.

Encoders also write these fields under their own names, as they have no tag: of ` + "`relay.Limits`" + ` Zone, Regions, RetryRatio,
RetrySlack, RetryWindow, RevokeWithin, ConfigWithin, ExposeShare, ExposeSlack, WarmOverage, WarmSlack, TokenWorth, Cascade,
Mechanisms; of ` + "`relay.Mechanisms`" + ` Cascade, Without; of ` + "`sizes.Policy`" + ` Straight, Step; of ` + "`config.Effective`" + ` Path, Values;
positional arguments and subcommands of the programs in cmd/.
`

// kinds are the kinds of names, in the order of the page.
var kinds = []string{"json", "yaml", "arg", "log", "metric", "const"}

// found holds the names of one package by kind.
type found map[string][]string

func (f found) add(kind, name string) {
	if name != "" && name != "-" && !slices.Contains(f[kind], name) {
		f[kind] = append(f[kind], name)
	}
}

// text returns the value of a string literal; empty for another node.
func text(n ast.Node) string {
	l, ok := n.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return ""
	}
	s, err := strconv.Unquote(l.Value)
	if err != nil {
		panic(err) // the parser took it
	}
	return s
}

// tag adds the names that a struct's tag gives a field.
func (f found) tag(tag reflect.StructTag) {
	for _, kind := range []string{"json", "yaml"} {
		name, _, _ := strings.Cut(tag.Get(kind), ",")
		f.add(kind, name)
	}
	for part := range strings.SplitSeq(tag.Get("arg"), ",") {
		f.add("arg", part)
	}
}

// call adds the names that a call writes out: keys of log lines, names and labels of metrics.
func (f found) call(c *ast.CallExpr) {
	fn, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || len(c.Args) == 0 {
		return
	}
	x, _ := fn.X.(*ast.Ident)
	switch name := fn.Sel.Name; {
	case x != nil && x.Name == "zap":
		f.add("log", text(c.Args[0]))
	case name == "Counter" || name == "Gauge" || name == "Timer" || name == "Histogram" || name == "SubScope":
		f.add("metric", text(c.Args[0]))
	case name == "Tagged":
		ast.Inspect(c.Args[0], func(n ast.Node) bool {
			if kv, ok := n.(*ast.KeyValueExpr); ok {
				f.add("metric", text(kv.Key))
			}
			return true
		})
	}
}

func (f found) file(src *ast.File) {
	ast.Inspect(src, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Field:
			if n.Tag != nil {
				f.tag(reflect.StructTag(text(n.Tag)))
			}
		case *ast.CallExpr:
			f.call(n)
		case *ast.GenDecl:
			for _, s := range n.Specs {
				if v, ok := s.(*ast.ValueSpec); ok && n.Tok == token.CONST {
					for _, val := range v.Values {
						f.add("const", text(val))
					}
				}
			}
		}
		return true
	})
}

// sources returns the Go files under root, tests left out.
func sources(t *testing.T) (files []string) {
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && (strings.HasPrefix(d.Name(), ".") || d.Name() == "journal" || d.Name() == "testdata") {
			return filepath.SkipDir
		}
		if !d.IsDir() && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// collect returns what each package has.
func collect(t *testing.T) map[string]found {
	all := make(map[string]found)
	for _, path := range sources(t) {
		src, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			t.Fatal(err)
		}
		if all[dir] == nil {
			all[dir] = make(found)
		}
		all[dir].file(src)
	}
	return all
}

// logMessage matches a log message that a page gives: a prefix and a sentence, in back quotes or as a JSON string.
var logMessage = regexp.MustCompile("[`\"]((?:relay|router|peers|store|mirror): [A-Z][^`\"\n]*)[`\"]")

// TestOperationsMessages fails if an operator searches the logs for a message that nothing logs any more.
func TestOperationsMessages(t *testing.T) {
	var src bytes.Buffer
	for _, path := range sources(t) {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		src.Write(b)
	}
	operations, err := os.ReadFile(root + "/docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	found := logMessage.FindAllSubmatch(operations, -1)
	if len(found) < 30 {
		t.Errorf("messages in docs/OPERATIONS.md: got %d, want 30 or more", len(found))
	}
	for _, m := range found {
		if !bytes.Contains(src.Bytes(), append([]byte{'"'}, m[1]...)) {
			t.Errorf("docs/OPERATIONS.md has %q, which nothing logs", m[1])
		}
	}
}

// TestNamesPage holds docs/NAMES.md to the sources, both ways.
func TestNamesPage(t *testing.T) {
	all := collect(t)
	var dirs []string
	for dir := range all {
		dirs = append(dirs, dir)
	}
	slices.Sort(dirs)
	var got bytes.Buffer
	got.WriteString(head)
	for _, dir := range dirs {
		var lines []string
		for _, kind := range kinds {
			names := all[dir][kind]
			slices.Sort(names)
			for _, n := range names {
				lines = append(lines, fmt.Sprintf("%s %q\n", kind, n))
			}
		}
		if len(lines) > 0 {
			fmt.Fprintf(&got, "\n## %s\n\n```\n%s```\n", dir, strings.Join(lines, ""))
		}
	}
	if *update {
		if err := os.WriteFile(page, got.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got.String(), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("docs/NAMES.md:%d: got %q, want %q", i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Errorf("lines of docs/NAMES.md: got %d, want %d", len(gotLines), len(wantLines))
	}
}
