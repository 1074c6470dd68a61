// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import "reflect"

// Origin is the node that set an effective value. For a default it has the
// level LevelDefault, the empty path and revision 0.
type Origin struct {
	Level Level  `json:"level"`
	Path  string `json:"path"`
	// Revision is the revision at which the node last changed.
	Revision int64 `json:"revision"`
}

// Effective holds the settings in force for one path. It must not be changed, as
// all requests of the path share it.
type Effective struct {
	// Path is the path of the node that the settings are of: the one at the
	// path itself, or at the nearest level above that has a node.
	Path string
	// Values has every field set; only an empty list may be nil.
	Values Values
	// origins has one entry for each of SettingSpecs, in that order.
	origins []Origin
}

// Setting is one effective value with its origin, as explain prints it.
type Setting struct {
	// Key is the name of the setting, such as answerWithin.
	Key string `json:"key"`
	// Value is the value as text.
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// Setting returns the setting named key with its origin; for an unknown name,
// value and origin are empty.
func (e *Effective) Setting(key string) Setting {
	for i, k := range settingSpecs {
		if k.Name == key {
			return Setting{Key: key, Value: k.format(e.Values), Origin: e.origins[i]}
		}
	}
	return Setting{Key: key}
}

// All returns every setting with its origin, in the order of SettingSpecs.
func (e *Effective) All() []Setting {
	out := make([]Setting, len(settingSpecs))
	for i, k := range settingSpecs {
		out[i] = Setting{Key: k.Name, Value: k.format(e.Values), Origin: e.origins[i]}
	}
	return out
}

// defaultEffective returns the settings in force where no node sets any.
func defaultEffective() *Effective {
	e := &Effective{Values: defaults, origins: make([]Origin, len(settingSpecs))}
	for i := range e.origins {
		e.origins[i] = Origin{Level: LevelDefault}
	}
	return e
}

// override returns a copy of e in which the fields that v sets replace those of
// e, with the node at path, last changed at revision, as their origin.
func (e *Effective) override(path string, revision int64, v Values) *Effective {
	out := &Effective{Path: path, Values: e.Values, origins: append([]Origin(nil), e.origins...)}
	src := reflect.ValueOf(v)
	dst := reflect.ValueOf(&out.Values).Elem()
	for i, k := range settingSpecs {
		f := src.Field(k.index)
		if f.IsNil() {
			continue
		}
		dst.Field(k.index).Set(f)
		out.origins[i] = Origin{Level: LevelOf(path), Path: path, Revision: revision}
	}
	return out
}
