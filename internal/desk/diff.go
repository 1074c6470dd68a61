// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package desk

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/traildrift/traildrift/pkg/config"
)

// Diff writes the differences in effective values and allowed versions from a to b, a line for each,
// sorted by path. It returns the error of w.
func Diff(w io.Writer, a, b *config.Snapshot) error {
	paths := a.Nodes()
	maps.Copy(paths, b.Nodes())
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		for _, line := range diffPath(path, a, b) {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// diffPath returns the lines of one path.
func diffPath(path string, a, b *config.Snapshot) []string {
	var out []string
	ea, eb := a.EffectiveAt(path), b.EffectiveAt(path)
	for i, sb := range eb.All() {
		if sa := ea.All()[i]; sa.Value != sb.Value {
			out = append(out, fmt.Sprintf("%s: %s: %s -> %s (set at %s)", config.PathName(path), sb.Key, sa.Value, sb.Value, originName(sb.Origin)))
		}
	}
	return append(out, diffVersions(path, a.Candidates(ea), b.Candidates(eb))...)
}

// diffVersions returns the lines of the versions that are allowed at a path.
func diffVersions(path string, a, b []config.Candidate) []string {
	var out []string
	old := byName(a)
	for _, c := range b {
		name := c.Model + "@" + c.Version
		before, ok := old[name]
		delete(old, name)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s: version %s is allowed", config.PathName(path), name))
		case before.Spec != c.Spec:
			out = append(out, fmt.Sprintf("%s: version %s: %+v -> %+v", config.PathName(path), name, before.Spec, c.Spec))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		out = append(out, fmt.Sprintf("%s: version %s is no longer allowed", config.PathName(path), name))
	}
	return out
}

// byName returns the candidates by model@version.
func byName(cs []config.Candidate) map[string]config.Candidate {
	m := make(map[string]config.Candidate, len(cs))
	for _, c := range cs {
		m[c.Model+"@"+c.Version] = c
	}
	return m
}

// originName returns the level, path and revision that set a value; the level alone for a default.
func originName(o config.Origin) string {
	if o.Level == config.LevelDefault {
		return string(o.Level)
	}
	return fmt.Sprintf("%s %s, revision %d", o.Level, config.PathName(o.Path), o.Revision)
}

// Effective writes the effective values at a path with the levels that set them, then the versions
// that are allowed there. workload and district may be empty. It returns the error of w.
func Effective(w io.Writer, s *config.Snapshot, workspace, workload, district string) error {
	e := s.Effective(workspace, workload, district)
	for _, v := range e.All() {
		if _, err := fmt.Fprintf(w, "%-14s %-40s %s\n", v.Key, v.Value, originName(v.Origin)); err != nil {
			return err
		}
	}
	for _, c := range s.Candidates(e) {
		if _, err := fmt.Fprintf(w, "%-14s %s@%s cost %v quality %v pool %s %s\n", "version", c.Model, c.Version, c.Spec.Cost, c.Spec.Quality, c.Spec.Pool, c.Spec.State); err != nil {
			return err
		}
	}
	return nil
}
