// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is the tree at one revision, with the settings in force at every path
// computed. It does not change after Build.
type Snapshot struct {
	// Head is the head that the snapshot was built from.
	Head Head
	// nodes holds the node at every path of Head.
	nodes map[string]Node
	// bodies holds the stored form of every node, by hash.
	bodies map[string][]byte
	// effective holds the settings in force at every path of Head, and at the
	// empty path also if Head has no node there.
	effective map[string]*Effective
	// workspaceByKeyHash maps the hash of an API key to its workspace.
	workspaceByKeyHash map[string]string
	// candidates holds the versions that the allow list in force at each path
	// expands to.
	candidates map[string][]Candidate
}

// Candidate is a version that an allow list names.
type Candidate struct {
	Model, Version string
	// Name is model@version.
	Name string
	// Spec is the version as the fleet node has it.
	Spec Version
}

// Empty returns the snapshot of revision 0, which has no nodes and allows no
// version.
func Empty() *Snapshot {
	s, err := Build(Head{}, nil)
	if err != nil {
		panic("config: build the empty snapshot: " + err.Error())
	}
	return s
}

// Build returns the snapshot of head; bodies holds the stored form of the nodes by
// hash, and may hold others. Build returns ErrMissing if a node is not in bodies
// and ErrCorrupt if one does not match its hash or does not decode.
func Build(head Head, bodies map[string][]byte) (*Snapshot, error) {
	s := &Snapshot{
		Head:               head,
		nodes:              make(map[string]Node),
		bodies:             make(map[string][]byte),
		effective:          make(map[string]*Effective),
		workspaceByKeyHash: make(map[string]string),
		candidates:         make(map[string][]Candidate),
	}
	for path, ref := range head.Nodes {
		body, ok := bodies[ref.Hash]
		if !ok {
			return nil, ErrMissing
		}
		n, err := DecodeNode(ref.Hash, body)
		if err != nil {
			return nil, err
		}
		s.nodes[path] = n
		s.bodies[ref.Hash] = body
	}
	s.resolve()
	return s, nil
}

// resolve computes the settings in force and the candidates at every path, from
// the fleet down, and the index of API keys.
func (s *Snapshot) resolve() {
	fleet := s.nodes[""]
	s.effective[""] = defaultEffective().override("", s.Head.Nodes[""].Revision, fleet.Values)
	paths := slices.Sorted(maps.Keys(s.nodes))
	slices.SortStableFunc(paths, func(a, b string) int {
		return strings.Count(a, "/") - strings.Count(b, "/")
	})
	for _, path := range paths {
		n := s.nodes[path]
		if path != "" {
			s.effective[path] = s.nearestEffective(Parent(path)).override(path, s.Head.Nodes[path].Revision, n.Values)
		}
		s.candidates[path] = Expand(fleet.Models, s.effective[path].Values.Allow)
		for _, h := range n.KeyHashes {
			s.workspaceByKeyHash[h] = path
		}
	}
}

// nearestEffective returns the settings in force at path: those of its node, or
// of the nearest level above that has a node.
func (s *Snapshot) nearestEffective(path string) *Effective {
	for {
		if e, ok := s.effective[path]; ok {
			return e
		}
		path = Parent(path)
	}
}

// Expand returns the versions that an allow list names, sorted by model and
// version. An entry of the list is model, for all its versions, or model@version;
// entries that name no version of models are ignored.
func Expand(models map[string]Model, allow []string) []Candidate {
	var out []Candidate
	for _, name := range slices.Sorted(maps.Keys(models)) {
		for _, version := range slices.Sorted(maps.Keys(models[name].Versions)) {
			if slices.Contains(allow, name) || slices.Contains(allow, name+"@"+version) {
				out = append(out, Candidate{Model: name, Version: version, Name: name + "@" + version, Spec: models[name].Versions[version]})
			}
		}
	}
	return out
}

// Effective returns the settings in force for a workspace, workload and district.
// For an empty or unknown name, those of the level above are in force.
func (s *Snapshot) Effective(workspace, workload, district string) *Effective {
	return s.nearestEffective(Path(workspace, workload, district))
}

// Candidates returns the versions that are allowed at the path of e, sorted by
// model and version. The caller must not change them.
func (s *Snapshot) Candidates(e *Effective) []Candidate { return s.candidates[e.Path] }

// Workspace returns the workspace that an API key belongs to and whether there is
// one; key is the API key itself, not its hash.
func (s *Snapshot) Workspace(key string) (string, bool) {
	w, ok := s.workspaceByKeyHash[APIKeyHash(key)]
	return w, ok
}

// Serves returns what a workload serves: ServesChat, the name of a plain service,
// or "" for an unknown workload.
func (s *Snapshot) Serves(workspace, workload string) string {
	n, ok := s.nodes[Path(workspace, workload)]
	if !ok || workload == "" {
		return ""
	}
	if n.Serves == "" {
		return ServesChat
	}
	return n.Serves
}

// ServesChat is the value of Node.Serves for a workload that serves chat requests
// with models. An empty value means the same.
const ServesChat = "chat"

// Version returns a version of a model and whether it exists.
func (s *Snapshot) Version(model, version string) (Version, bool) {
	v, ok := s.nodes[""].Models[model].Versions[version]
	return v, ok
}

// Service returns a plain service and whether it exists.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.nodes[""].Services[name]
	return v, ok
}

// Body returns the stored form of the node of the given hash and whether s has it.
func (s *Snapshot) Body(hash string) ([]byte, bool) {
	b, ok := s.bodies[hash]
	return b, ok
}

// Missing returns the hashes of the nodes of head that s does not have, sorted.
func (s *Snapshot) Missing(head Head) []string {
	var out []string
	for _, ref := range head.Nodes {
		if _, ok := s.bodies[ref.Hash]; !ok && !slices.Contains(out, ref.Hash) {
			out = append(out, ref.Hash)
		}
	}
	slices.Sort(out)
	return out
}

// Advance returns the snapshot of head, built from the nodes of s and the stored
// forms in added, by hash. It returns ErrRevision unless the revision of head is
// higher than that of s, and the errors of Build. Every change of the revision in
// force goes through Advance, so that the revision never decreases.
func (s *Snapshot) Advance(head Head, added map[string][]byte) (*Snapshot, error) {
	if head.Revision <= s.Head.Revision {
		return nil, ErrRevision
	}
	bodies := maps.Clone(s.bodies)
	maps.Copy(bodies, added)
	return Build(head, bodies)
}

// Nodes returns the nodes by path, in a new map.
func (s *Snapshot) Nodes() map[string]Node { return maps.Clone(s.nodes) }

// ModelNames returns the model names that are offered to the callers of a
// workspace: its chat workloads and the models that it allows, sorted.
func (s *Snapshot) ModelNames(workspace string) []string {
	var out []string
	for path := range s.nodes {
		ws, workload, ok := strings.Cut(path, "/")
		if ok && ws == workspace && !strings.Contains(workload, "/") && s.Serves(ws, workload) == ServesChat {
			out = append(out, workload)
		}
	}
	for _, c := range s.Candidates(s.Effective(workspace, "", "")) {
		out = append(out, c.Model)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// EffectiveAt returns the settings in force at a path as Path returns it.
func (s *Snapshot) EffectiveAt(path string) *Effective { return s.nearestEffective(path) }
