// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package elems

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// List is a JSON array whose elements are decoded one by one. One that can't be decoded, or is null, is left out of Items.
type List[T any] struct {
	Items []T
	// Bad holds the elements that were left out, in the order of the array.
	Bad []Bad
}

// Bad is an element that was left out of a List.
type Bad struct {
	// Index is the position in the array.
	Index int
	// Text is the element.
	Text json.RawMessage
	Err  error
}

// UnmarshalJSON implements json.Unmarshaler. It fails only if text is no array.
func (l *List[T]) UnmarshalJSON(text []byte) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return errors.Wrap(err, "elems: decode list")
	}
	*l = List[T]{Items: make([]T, 0, len(raw))}
	for i, t := range raw {
		var v T
		err := json.Unmarshal(t, &v)
		if err == nil && string(t) == "null" {
			err = errors.New("got null")
		}
		if err != nil {
			l.Bad = append(l.Bad, Bad{i, t, errors.Wrapf(err, "elems: element %d", i)})
			continue
		}
		l.Items = append(l.Items, v)
	}
	return nil
}

// maxErrorText is the maximum length of the text in an error of Errors, in bytes.
const maxErrorText = 120

// Err returns an error that names all elements that were left out; nil if there is none.
func (l *List[T]) Err() error {
	var all error
	for _, b := range l.Bad {
		all = errors.Join(all, errors.Wrapf(b.Err, "%s", b.Text[:min(len(b.Text), maxErrorText)]))
	}
	return all
}

// Unmarshal is json.Unmarshal for text of others: values that are nested more deeply than MaxDepth are taken as null.
func Unmarshal(text []byte, dst any) error { return json.Unmarshal(Bound(text, MaxDepth), dst) }

// Unreadable returns a JSON string in place of an object that can't be decoded. Unlike the object it can be stored and
// passed on, and whoever decodes it with Object gets the error.
func Unreadable(err error) json.RawMessage {
	text := err.Error()
	text = text[:min(len(text), maxErrorText)]
	quoted, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage(`"unreadable"`)
	}
	return quoted
}

// Object decodes a JSON object. It fails for any other value, also for null, and for what Unreadable returned with the
// text of that error.
func Object(text json.RawMessage, dst any) error {
	var reason string
	switch {
	case len(text) > 0 && text[0] == '"' && json.Unmarshal(text, &reason) == nil:
		return errors.Newf("%s", reason)
	case len(text) == 0 || text[0] != '{':
		return errors.Newf("elems: got %.20q, want an object", text)
	default:
		return json.Unmarshal(text, dst)
	}
}
