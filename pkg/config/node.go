// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// Level names a level of the tree.
type Level string

// The levels, from the widest to the narrowest. LevelDefault stands for values
// that no node sets.
const (
	LevelDefault   Level = "default"
	LevelFleet     Level = "fleet"
	LevelWorkspace Level = "workspace"
	LevelWorkload  Level = "workload"
	LevelDistrict  Level = "district"
)

// States of a Version.
const (
	StateServing   = "serving"
	StateWithdrawn = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	// Pool names the pool of endpoints that run the version.
	Pool string `yaml:"pool" json:"pool"`
	// Cost is the cost per million tokens, in a unit that the operator chooses.
	Cost float64 `yaml:"cost" json:"cost"`
	// Quality is the share of good answers, 0 to 1, that the operator expects
	// before any are measured.
	Quality float64 `yaml:"quality" json:"quality"`
	// State is serving (also when empty) or withdrawn.
	State string `yaml:"state,omitempty" json:"state,omitempty"`
	// Share is the share of requests, 0 to 1, that may go to the version
	// during its roll-out; nil means 1.
	Share *float64 `yaml:"share,omitempty" json:"share,omitempty"`
}

// Exposure returns the share of requests, 0 to 1, that may go to the version.
func (v Version) Exposure() float64 {
	if v.Share == nil {
		return 1
	}
	return *v.Share
}

// Model holds the versions of a model, by the name of the version.
type Model struct {
	Versions map[string]Version `yaml:"versions" json:"versions"`
}

// Service is a plain service: one that is no model and has no versions.
type Service struct {
	// Pool names the pool of endpoints that serve it.
	Pool string `yaml:"pool" json:"pool"`
}

// Node is one node of the tree as it is stored.
type Node struct {
	// Models and Services are set at the fleet level only.
	Models   map[string]Model   `yaml:"models,omitempty" json:"models,omitempty"`
	Services map[string]Service `yaml:"services,omitempty" json:"services,omitempty"`
	// KeyHashes holds the hashes of the workspace's API keys, as
	// APIKeyHash returns them; workspace level only.
	KeyHashes []string `yaml:"keyHashes,omitempty" json:"keyHashes,omitempty"`
	// Serves is ServesChat, empty for the same, or the name of a plain
	// service; workload level only.
	Serves string `yaml:"serves,omitempty" json:"serves,omitempty"`
	// Values holds what the node overrides; every level.
	Values Values `yaml:"values,omitempty" json:"values,omitzero"`
}

// Path returns the path of a node, such as workspace/workload/district, from
// the names of its levels. Empty names at the end are dropped. The fleet has
// the empty path.
func Path(parts ...string) string {
	for len(parts) > 0 && parts[len(parts)-1] == "" {
		parts = parts[:len(parts)-1]
	}
	return strings.Join(parts, "/")
}

// PathName returns path as it is shown to operators: "(fleet)" for the empty path,
// any other as it is.
func PathName(path string) string {
	if path == "" {
		return "(fleet)"
	}
	return path
}

// LevelOf returns the level of a path.
func LevelOf(path string) Level {
	if path == "" {
		return LevelFleet
	}
	switch strings.Count(path, "/") {
	case 0:
		return LevelWorkspace
	case 1:
		return LevelWorkload
	default:
		return LevelDistrict
	}
}

// Parent returns the path one level up, or the empty path for the fleet.
func Parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return ""
	}
	return path[:i]
}

// Encode returns the stored form of n, which is JSON, and its hash.
func (n Node) Encode() (body []byte, hash string) {
	body, err := json.Marshal(n)
	if err != nil {
		panic("config: encode node: " + err.Error())
	}
	return body, NodeHash(body)
}

// NodeHash returns the hash that names a stored node: the first 16 bytes of the
// SHA-256 of its stored form, in hexadecimal.
func NodeHash(body []byte) string {
	h := sha256.Sum256(body)
	return hex.EncodeToString(h[:16])
}

// DecodeNode decodes the stored form of a node. It returns ErrCorrupt if body
// does not have the given hash or does not decode.
func DecodeNode(hash string, body []byte) (Node, error) {
	var n Node
	if NodeHash(body) != hash {
		return n, ErrCorrupt
	}
	if err := json.Unmarshal(body, &n); err != nil {
		return n, ErrCorrupt
	}
	return n, nil
}

// APIKeyHash returns the hash of an API key in the form that keyHashes has:
// "sha256:" and 64 hexadecimal digits.
func APIKeyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(h[:])
}
