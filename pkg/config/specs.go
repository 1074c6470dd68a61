// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// SettingSpec describes one inheritable setting: a field of Values and its tags.
// The exported fields are the columns of docs/SETTINGS.md.
type SettingSpec struct {
	Name, Type, Unit, Default, Allowed, Doc string
	// index is the index of the field in Values.
	index int
	// min and max are the bounds of a number or Span as text; empty without
	// bounds.
	min, max string
	// enum are the allowed values of a string.
	enum []string
}

// SettingSpecs returns every inheritable setting in the order of the fields of
// Values.
func SettingSpecs() []SettingSpec { return slices.Clone(settingSpecs) }

var (
	settingSpecs = readSpecs()
	// defaults has every field of Values set to the default in its tag.
	defaults = readDefaults()
)

func readSpecs() []SettingSpec {
	t := reflect.TypeFor[Values]()
	out := make([]SettingSpec, t.NumField())
	for i := range out {
		f := t.Field(i)
		spec := SettingSpec{index: i, Doc: f.Tag.Get("doc"), Unit: f.Tag.Get("unit"), Default: f.Tag.Get("default")}
		spec.Name, _, _ = strings.Cut(f.Tag.Get("yaml"), ",")
		spec.min, spec.max = f.Tag.Get("min"), f.Tag.Get("max")
		spec.enum = strings.Fields(f.Tag.Get("words"))
		spec.Type = typeName(f.Type)
		spec.Allowed = spec.allowedText()
		out[i] = spec
	}
	return out
}

// typeName returns the name of a field's type in docs/SETTINGS.md.
func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[*bool]():
		return "boolean"
	case reflect.TypeFor[*int]():
		return "integer"
	case reflect.TypeFor[*float64]():
		return "number"
	case reflect.TypeFor[*Span]():
		return "length of time"
	case reflect.TypeFor[[]string]():
		return "list of words"
	default:
		return "word"
	}
}

// allowedText returns the allowed values as text.
func (s SettingSpec) allowedText() string {
	if len(s.enum) > 0 {
		return strings.Join(s.enum, ", ")
	}
	if s.max != "" {
		return s.min + " to " + s.max
	}
	return "any " + s.Type
}

func readDefaults() Values {
	var v Values
	dst := reflect.ValueOf(&v).Elem()
	for _, spec := range settingSpecs {
		f := dst.Field(spec.index)
		if f.Kind() == reflect.Slice {
			f.Set(reflect.ValueOf([]string{}))
			continue
		}
		f.Set(reflect.New(f.Type().Elem()))
		parseDefault(f.Elem(), spec.Default)
	}
	return v
}

// parseDefault parses text, the default of a setting, into dst.
func parseDefault(dst reflect.Value, text string) {
	var err error
	switch p := dst.Addr().Interface().(type) {
	case *bool:
		*p, err = strconv.ParseBool(text)
	case *int:
		*p, err = strconv.Atoi(text)
	case *float64:
		*p, err = strconv.ParseFloat(text, 64)
	case *Span:
		err = p.UnmarshalText([]byte(text))
	case *string:
		*p = text
	}
	if err != nil {
		panic("config: invalid default in a tag of Values: " + text)
	}
}

// check returns the error message for the value of s in v, or "" if it is allowed
// or not set.
func (s SettingSpec) check(v Values) string {
	f := reflect.ValueOf(v).Field(s.index)
	if f.IsNil() || f.Kind() == reflect.Slice {
		return ""
	}
	switch x := f.Elem().Interface().(type) {
	case string:
		if !slices.Contains(s.enum, x) {
			return fmt.Sprintf("%q is not allowed; allowed: %s", x, s.Allowed)
		}
	case int:
		return s.checkRange(float64(x), fmt.Sprint(x), parseNumber)
	case float64:
		return s.checkRange(x, fmt.Sprint(x), parseNumber)
	case Span:
		return s.checkRange(float64(x), x.String(), parseSpan)
	}
	return ""
}

func (s SettingSpec) checkRange(x float64, text string, parse func(string) float64) string {
	if s.max != "" && !(x >= parse(s.min) && x <= parse(s.max)) {
		return fmt.Sprintf("%s is not allowed; allowed: %s", text, s.Allowed)
	}
	return ""
}

func parseNumber(s string) float64 {
	x, _ := strconv.ParseFloat(s, 64)
	return x
}

func parseSpan(s string) float64 {
	d, _ := time.ParseDuration(s)
	return float64(d)
}

// format returns the value of s in v as it is shown to operators.
func (s SettingSpec) format(v Values) string {
	f := reflect.ValueOf(v).Field(s.index)
	if f.Kind() == reflect.Slice {
		return "[" + strings.Join(f.Interface().([]string), ", ") + "]"
	}
	return fmt.Sprint(f.Elem().Interface())
}
