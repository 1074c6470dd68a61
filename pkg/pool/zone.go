// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import "time"

// zone is the state of an availability zone, which all its endpoints share. The zero value is open.
type zone struct {
	// closed is set while no requests are sent to the zone.
	closed bool
	// revision is that of the last order about the zone; it only grows.
	revision int64
	// openedAt is when the zone was reopened; zero if it was never closed.
	openedAt time.Time
}

// zone returns the state of an availability zone.
func (b *Book) zone(name string) *zone {
	z, ok := b.zones[name]
	if !ok {
		z = new(zone)
		b.zones[name] = z
	}
	return z
}

// CloseZone applies an order to stop sending requests to an availability zone, which may have no
// endpoints. It reports whether the zone was closed by it: false for one that is closed already, and for
// an order that is older than the last one applied.
func (b *Book) CloseZone(name string, revision int64) bool {
	z := b.zone(name)
	if revision < z.revision || z.closed {
		z.revision = max(z.revision, revision)
		return false
	}
	z.closed, z.revision = true, revision
	return true
}

// OpenZone applies an order to send requests to an availability zone again. Its endpoints count as warming
// up from now on, until a later entry of theirs reports otherwise. It reports whether the zone was reopened.
func (b *Book) OpenZone(name string, revision int64, now time.Time) bool {
	z := b.zone(name)
	if revision < z.revision || !z.closed {
		return false
	}
	z.closed, z.revision, z.openedAt = false, revision, now
	return true
}

// ClosedZones returns the number of closed availability zones.
func (b *Book) ClosedZones() (n int) {
	for _, z := range b.zones {
		if z.closed {
			n++
		}
	}
	return n
}

// InZone returns the number of endpoints in an availability zone.
func (b *Book) InZone(name string) (n int) {
	for _, p := range b.byID {
		if p.Zone == name {
			n++
		}
	}
	return n
}
