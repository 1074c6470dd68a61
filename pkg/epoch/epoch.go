// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package epoch orders the states of a store that may come back from an older copy.
//
// Such a store counts its changes. When it comes back, it has lost its last changes and gives their
// numbers out again, so that a number alone does not order two states: it names a change only together
// with the number of times that the store has come back, its epoch.
package epoch

import "strconv"

// Revision is a position in the history of a store: an epoch and the number of a change in it. Each
// position of an epoch is after all those of earlier epochs, so that revisions compare by < and their
// integers are the same for one change only.
type Revision int64

// None is before all revisions.
const None Revision = -1

const (
	// numberBits is the number of bits of a change's number. At 1,000 changes a second they last
	// for 34 years.
	numberBits = 40
	// maxNumber is the largest number of a change.
	maxNumber = 1<<numberBits - 1
	// MaxEpoch is the largest epoch.
	MaxEpoch = 1<<(63-numberBits) - 1
)

// At returns the revision of the change with a number in an epoch; None for a negative number. The
// epoch must be from 0 to MaxEpoch; it is 0 for stores that never come back from an older copy.
func At(epoch, number int64) Revision {
	if number < 0 {
		return None
	}
	return Revision(epoch<<numberBits | min(number, maxNumber))
}

// Epoch returns the epoch of the revision; 0 for None.
func (r Revision) Epoch() int64 {
	if r < 0 {
		return 0
	}
	return int64(r >> numberBits)
}

// Number returns the number of the change, as the store names it; -1 for None.
func (r Revision) Number() int64 {
	if r < 0 {
		return -1
	}
	return int64(r & maxNumber)
}

// String returns the epoch and the number with a colon between them.
func (r Revision) String() string {
	return strconv.FormatInt(r.Epoch(), 10) + ":" + strconv.FormatInt(r.Number(), 10)
}
