// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import "reflect"

// Origin says where an effective value comes from.
type Origin struct {
	Level    Level  `json:"level"`
	Path     string `json:"path"`
	Revision int64  `json:"revision"`
}

// Effective holds the settings in force for one path.
type Effective struct {
	// Path is the path asked for.
	Path string
	// Values has no nil field, except that an empty list may be nil.
	Values Values
	// origins has one entry for each of Keys, in that order.
	origins []Origin
}

// Setting is one effective value with its origin, as explain prints it.
type Setting struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// Setting returns the named value with its origin.
func (e *Effective) Setting(key string) Setting {
	for i, k := range keys {
		if k.Name == key {
			return Setting{Key: key, Value: k.text(e.Values), Origin: e.origins[i]}
		}
	}
	return Setting{Key: key}
}

// All returns every effective value in the order of Keys.
func (e *Effective) All() []Setting {
	out := make([]Setting, len(keys))
	for i, k := range keys {
		out[i] = Setting{Key: k.Name, Value: k.text(e.Values), Origin: e.origins[i]}
	}
	return out
}

func defaultEffective() *Effective {
	e := &Effective{Values: defaults, origins: make([]Origin, len(keys))}
	for i := range e.origins {
		e.origins[i] = Origin{Level: LevelDefault}
	}
	return e
}

// override returns a copy of e with what v sets.
func (e *Effective) override(path string, revision int64, v Values) *Effective {
	out := &Effective{Path: path, Values: e.Values, origins: append([]Origin(nil), e.origins...)}
	src := reflect.ValueOf(v)
	dst := reflect.ValueOf(&out.Values).Elem()
	for i, k := range keys {
		f := src.Field(k.index)
		if f.IsNil() {
			continue
		}
		dst.Field(k.index).Set(f)
		out.origins[i] = Origin{Level: LevelOf(path), Path: path, Revision: revision}
	}
	return out
}
