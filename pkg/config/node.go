// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// Level is the depth of a node in the tree.
type Level string

// The levels, from the widest to the narrowest.
const (
	LevelDefault   Level = "default"
	LevelFleet     Level = "fleet"
	LevelWorkspace Level = "workspace"
	LevelWorkload  Level = "workload"
	LevelDistrict  Level = "district"
)

// Version states.
const (
	StateServing   = "serving"
	StateWithdrawn = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	// Pool names the endpoints that run it.
	Pool string `yaml:"pool" json:"pool"`
	// Cost is per million tokens, in the operator's own unit.
	Cost float64 `yaml:"cost" json:"cost"`
	// Quality is the share of good answers expected before there is evidence.
	Quality float64 `yaml:"quality" json:"quality"`
	// State is serving (also when empty) or withdrawn.
	State string `yaml:"state,omitempty" json:"state,omitempty"`
	// Share is the share of requests that may go to it while it is rolled
	// out; nil counts as 1.
	Share *float64 `yaml:"share,omitempty" json:"share,omitempty"`
}

// Exposure returns the share of requests that may go to the version.
func (v Version) Exposure() float64 {
	if v.Share == nil {
		return 1
	}
	return *v.Share
}

// Model holds the versions of a model by name.
type Model struct {
	Versions map[string]Version `yaml:"versions" json:"versions"`
}

// Service is a plain service that is routed to as well.
type Service struct {
	// Pool names the endpoints that serve it.
	Pool string `yaml:"pool" json:"pool"`
}

// Node is one node of the tree. Models and Services stand at the fleet level,
// KeyHashes at the workspace level and Serves at the workload level only.
type Node struct {
	Models    map[string]Model   `yaml:"models,omitempty" json:"models,omitempty"`
	Services  map[string]Service `yaml:"services,omitempty" json:"services,omitempty"`
	KeyHashes []string           `yaml:"keyHashes,omitempty" json:"keyHashes,omitempty"`
	Serves    string             `yaml:"serves,omitempty" json:"serves,omitempty"`
	Values    Values             `yaml:"values,omitempty" json:"values,omitzero"`
}

// Path joins workspace, workload and district to the path of a node. The
// fleet has the empty path.
func Path(parts ...string) string {
	for len(parts) > 0 && parts[len(parts)-1] == "" {
		parts = parts[:len(parts)-1]
	}
	return strings.Join(parts, "/")
}

// PathName returns a path as operators read it.
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

// Parent returns the path one level up; the fleet's parent is the fleet.
func Parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return ""
	}
	return path[:i]
}

// Encode returns the stored form of a node and its hash.
func (n Node) Encode() (body []byte, hash string) {
	body, err := json.Marshal(n)
	if err != nil {
		panic("config: a node is always encodable: " + err.Error())
	}
	return body, HashOf(body)
}

// HashOf returns the hash that names a stored node.
func HashOf(body []byte) string {
	h := sha256.Sum256(body)
	return hex.EncodeToString(h[:16])
}

// DecodeNode decodes a stored node and returns ErrCorrupt if it does not
// match its hash.
func DecodeNode(hash string, body []byte) (Node, error) {
	var n Node
	if HashOf(body) != hash {
		return n, ErrCorrupt
	}
	if err := json.Unmarshal(body, &n); err != nil {
		return n, ErrCorrupt
	}
	return n, nil
}

// KeyHash returns the hash of an API key as settings hold it.
func KeyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(h[:])
}
