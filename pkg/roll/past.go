// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package roll

import "slices"

// Past holds the versions of a service that were rolled back, given up or replaced, the newest
// first: endpoints may be listed for long after that, and none of these versions may get
// requests again unless a roll-out of it is ordered. The zero value holds none.
type Past [pastMost]string

// pastMost bounds the versions that are remembered: endpoints of the third last roll-out are
// gone for sure.
const pastMost = 6

// Has reports whether a version is among them.
func (p Past) Has(version string) bool { return version != "" && slices.Contains(p[:], version) }

// With returns p with a version as its newest one.
func (p Past) With(version string) Past {
	if version == "" {
		return p
	}
	rest := p.Without(version)
	next := Past{version}
	copy(next[1:], rest[:])
	return next
}

// Without returns p without a version.
func (p Past) Without(version string) Past {
	var next Past
	n := 0
	for _, v := range p {
		if v != version {
			next[n] = v
			n++
		}
	}
	return next
}

// List returns the versions.
func (p Past) List() (list []string) {
	for _, v := range p {
		if v != "" {
			list = append(list, v)
		}
	}
	return list
}

// PastOf returns what List returned.
func PastOf(list []string) (p Past) {
	for _, v := range slices.Backward(list) {
		p = p.With(v)
	}
	return p
}
