// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// getOrCreate returns the value of a key. If there is none, it stores a new zero value first.
func getOrCreate[K comparable, T any](in map[K]*T, key K) *T {
	v, ok := in[key]
	if !ok {
		v = new(T)
		in[key] = v
	}
	return v
}
