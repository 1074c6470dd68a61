// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import "slices"

// Retired holds the versions of a service that were rolled back, abandoned or replaced,
// newest first. Endpoints of such versions may be listed long afterwards and must get no
// requests, unless a new roll-out of the version is ordered. The zero value holds none;
// unused elements are empty.
type Retired [maxRetired]string

// maxRetired bounds the versions that are kept: endpoints of the third last roll-out are
// certainly gone.
const maxRetired = 6

// Has reports whether the version is retired.
func (p Retired) Has(version string) bool { return version != "" && slices.Contains(p[:], version) }

// With returns p with version as its newest one; the oldest is dropped if there is no
// room. It returns p itself for an empty version.
func (p Retired) With(version string) Retired {
	if version == "" {
		return p
	}
	rest := p.Without(version)
	next := Retired{version}
	copy(next[1:], rest[:])
	return next
}

// Without returns p without version.
func (p Retired) Without(version string) Retired {
	var next Retired
	n := 0
	for _, v := range p {
		if v != version {
			next[n] = v
			n++
		}
	}
	return next
}

// List returns the versions, newest first.
func (p Retired) List() (list []string) {
	for _, v := range p {
		if v != "" {
			list = append(list, v)
		}
	}
	return list
}

// RetiredOf is the inverse of Retired.List.
func RetiredOf(list []string) (p Retired) {
	for _, v := range slices.Backward(list) {
		p = p.With(v)
	}
	return p
}
