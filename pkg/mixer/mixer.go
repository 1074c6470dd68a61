// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package mixer spreads numbers evenly and cheaply, the same way in every process:
// SplitMix64 (Steele, Lea and Flood, 2014).
package mixer

// gamma is the increment of SplitMix64.
const gamma = 0x9e3779b97f4a7c15

// Mix returns a number that looks random and that z determines.
func Mix(z uint64) uint64 {
	z += gamma
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Next returns the next number of the sequence whose state is x.
func Next(x *uint64) uint64 {
	n := Mix(*x)
	*x += gamma
	return n
}
