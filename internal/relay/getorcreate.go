// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package relay

// getOrCreate returns what a map holds under a key; a new zero value if there is none.
func getOrCreate[K comparable, T any](in map[K]*T, key K) *T {
	v, ok := in[key]
	if !ok {
		v = new(T)
		in[key] = v
	}
	return v
}
