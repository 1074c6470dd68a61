// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package mixer provides deterministic pseudo-random numbers and a 64-bit hash finalizer,
// the same in every process: SplitMix64 (Steele, Lea and Flood, 2014).
package mixer

// gamma is the increment of SplitMix64's state.
const gamma = 0x9e3779b97f4a7c15

// Mix hashes z. It returns the number that SplitMix64 generates from state z.
func Mix(z uint64) uint64 {
	z += gamma
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Next returns the next number of the sequence and advances its state x. Any value of x is a
// valid seed.
func Next(x *uint64) uint64 {
	n := Mix(*x)
	*x += gamma
	return n
}
