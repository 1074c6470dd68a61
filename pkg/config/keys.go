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

// Key describes one inheritable setting: a field of Values and its tags. The
// exported fields are the columns of docs/SETTINGS.md.
type Key struct {
	Name, Type, Unit, Default, Allowed, Doc string
	// index is the index of the field in Values.
	index int
	// min and max are the bounds of a number or Span as text; empty without
	// bounds.
	min, max string
	// words are the allowed values of a string.
	words []string
}

// Keys returns every inheritable setting in the order of the fields of Values.
func Keys() []Key { return slices.Clone(keys) }

var (
	keys = readKeys()
	// defaults has every field of Values set to the default in its tag.
	defaults = readDefaults()
)

func readKeys() []Key {
	t := reflect.TypeFor[Values]()
	out := make([]Key, t.NumField())
	for i := range out {
		f := t.Field(i)
		k := Key{index: i, Doc: f.Tag.Get("doc"), Unit: f.Tag.Get("unit"), Default: f.Tag.Get("default")}
		k.Name, _, _ = strings.Cut(f.Tag.Get("yaml"), ",")
		k.min, k.max = f.Tag.Get("min"), f.Tag.Get("max")
		k.words = strings.Fields(f.Tag.Get("words"))
		k.Type = typeName(f.Type)
		k.Allowed = k.allowed()
		out[i] = k
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

// allowed returns the allowed values as text.
func (k Key) allowed() string {
	if len(k.words) > 0 {
		return strings.Join(k.words, ", ")
	}
	if k.max != "" {
		return k.min + " to " + k.max
	}
	return "any " + k.Type
}

func readDefaults() Values {
	var v Values
	dst := reflect.ValueOf(&v).Elem()
	for _, k := range keys {
		f := dst.Field(k.index)
		if f.Kind() == reflect.Slice {
			f.Set(reflect.ValueOf([]string{}))
			continue
		}
		f.Set(reflect.New(f.Type().Elem()))
		setText(f.Elem(), k.Default)
	}
	return v
}

// setText parses text, the default of a setting, into dst.
func setText(dst reflect.Value, text string) {
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

// check returns the error message for the value of k in v, or "" if it is allowed
// or not set.
func (k Key) check(v Values) string {
	f := reflect.ValueOf(v).Field(k.index)
	if f.IsNil() || f.Kind() == reflect.Slice {
		return ""
	}
	switch x := f.Elem().Interface().(type) {
	case string:
		if !slices.Contains(k.words, x) {
			return fmt.Sprintf("%q is not allowed; allowed: %s", x, k.Allowed)
		}
	case int:
		return k.checkRange(float64(x), fmt.Sprint(x), parseNumber)
	case float64:
		return k.checkRange(x, fmt.Sprint(x), parseNumber)
	case Span:
		return k.checkRange(float64(x), x.String(), parseSpan)
	}
	return ""
}

func (k Key) checkRange(x float64, text string, parse func(string) float64) string {
	if k.max != "" && !(x >= parse(k.min) && x <= parse(k.max)) {
		return fmt.Sprintf("%s is not allowed; allowed: %s", text, k.Allowed)
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

// text returns the value of k in v as it is shown to operators.
func (k Key) text(v Values) string {
	f := reflect.ValueOf(v).Field(k.index)
	if f.Kind() == reflect.Slice {
		return "[" + strings.Join(f.Interface().([]string), ", ") + "]"
	}
	return fmt.Sprint(f.Elem().Interface())
}
