// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package router

// Unreadable is a stored object, or an element of a list, that could not be decoded. It alone is left out.
type Unreadable struct {
	Kind string
	// Name is the name of the object; empty if that can't be read either.
	Name string
	Err  error
}

// reportUnreadable logs and counts an object that could not be decoded.
func (r *Router) reportUnreadable(o Unreadable) {
	r.admin.Scope.Tagged(map[string]string{"kind": o.Kind}).Counter("unreadable_objects").Inc(1)
	r.unreadable.Report(o.Kind, o.Name, o.Err)
}
