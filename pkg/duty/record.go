// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package duty

import (
	"slices"

	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/usage"
)

// Report is the usage of all workspaces in a window, as the holder sends it to the platform. It
// does not change once it is stored.
type Report struct {
	Window usage.Window `json:"window"`
	// Counts are the requests by workspace.
	Counts usage.Counts `json:"counts"`
}

// Record is the stored state of the duties. Only the holder, and a router that takes the duties
// over, writes it.
type Record struct {
	// Holder is the name of the VM that holds the duties. Incarnation identifies its router's
	// process.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"life,string"`
	// Fence is the fencing token of the holder's tenure. It is 0 in the write that began the
	// tenure, as the token is the revision of that write; see EffectiveFence.
	Fence int64 `json:"fence"`
	// WriteSeq numbers the writes of the holder's incarnation, by which it recognises its own.
	WriteSeq int64 `json:"turn"`
	// PastHolders are the names of the VMs that held the duties before, the latest first, at most
	// maxPastHolders.
	PastHolders []string `json:"past,omitempty"`
	// Settled is the newest window whose counts are settled, that is, final. It never decreases.
	Settled usage.Window `json:"settled"`
	// Fresh is set if the record was created where there was none, or replaced one that the store had
	// brought back, and was not written since: it is not known whether there was an earlier record,
	// and what it contained.
	Fresh bool `json:"fresh,omitempty"`
	// Unsent are the settled reports that the platform may not have accepted yet, in the order of
	// windows, at most maxUnsent.
	Unsent []Report `json:"unsent,omitempty"`
	// Epoch is the epoch of the store in which the record was written; 0 in records of earlier releases.
	Epoch int64 `json:"epoch,omitempty"`
	// Revision is the revision of the stored object, assigned by the store.
	Revision epoch.Revision `json:"-"`
}

const (
	// maxPastHolders is the number of earlier holders that are stored.
	maxPastHolders = 8
	// maxUnsent bounds the reports that are stored while the platform accepts none. The oldest are
	// dropped.
	maxUnsent = 16
)

// EffectiveFence returns the fencing token of the current tenure of a stored record: Fence, or
// Revision if the record began the tenure.
func (r *Record) EffectiveFence() int64 {
	if r.Fence != 0 {
		return r.Fence
	}
	return int64(r.Revision)
}

// restored reports whether a stored record was written in an earlier epoch than the one that the store is in.
func (r *Record) restored() bool { return r.Epoch < r.Revision.Epoch() }

// successor returns the base of the record that replaces r in the window now. If r is fresh, there
// may have been an earlier record, whose holder settled the windows before now.
func (r *Record) successor(now usage.Window) Record {
	next := *r
	if r.Fresh {
		next.Fresh, next.Settled = false, max(r.Settled, now-1)
	}
	return next
}

// takeover returns the record with which a router, of the same VM or another one, takes the duties
// over in the window now.
func (r *Record) takeover(vm string, incarnation uint64, now usage.Window) Record {
	next := r.successor(now)
	next.Holder, next.Incarnation, next.Fence = vm, incarnation, 0
	if r.Holder != "" && r.Holder != vm {
		past := slices.DeleteFunc(slices.Clone(r.PastHolders), func(name string) bool { return name == r.Holder })
		next.PastHolders = slices.Insert(past, 0, r.Holder)
		next.PastHolders = next.PastHolders[:min(len(next.PastHolders), maxPastHolders)]
	}
	return next
}

// renewed returns the record with which the holder continues in the window now: it adds the newly
// settled reports, and drops those of windows for which accepted returns true.
func (r *Record) renewed(settled []Report, accepted func(usage.Window) bool, now usage.Window) Record {
	next := r.successor(now)
	next.Fence = r.EffectiveFence()
	next.Unsent = slices.DeleteFunc(slices.Clone(r.Unsent), func(u Report) bool { return accepted(u.Window) })
	for _, s := range settled {
		if s.Window > next.Settled {
			next.Unsent, next.Settled = append(next.Unsent, s), s.Window
		}
	}
	if over := len(next.Unsent) - maxUnsent; over > 0 {
		next.Unsent = next.Unsent[over:]
	}
	return next
}

// Gossip is the message by which routers tell one another the newest record and window they know.
type Gossip struct {
	// Holder is the name of the VM that holds the duties, and Incarnation identifies its router's
	// process; empty and 0 if none is known.
	Holder      string
	Incarnation uint64
	// Revision is the revision of the record that names the holder. Settled is the newest window
	// that the sender knows to be settled.
	Revision epoch.Revision
	Settled  usage.Window
	// Resigned is set if the holder has resigned: it makes no call until it has taken the duties
	// over again.
	Resigned bool
}
