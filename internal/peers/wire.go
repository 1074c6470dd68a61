// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"net/netip"
	"time"

	"github.com/traildrift/traildrift/internal/mirror"
)

// Peer is a router as it is registered.
type Peer struct {
	// Name is the VM's.
	Name string `json:"name"`
	// Addr is where it answers its peers.
	Addr netip.AddrPort `json:"addr"`
	// Zone is its availability zone; empty in registrations of earlier releases.
	Zone string `json:"zone,omitempty"`
	// Token is what its peers have to show; it is new at each start.
	Token string `json:"token"`
	// Revision is that of the registration.
	Revision int64 `json:"-"`
}

// path is where peers ask.
const path = "/changes"

// question asks for what a copy lacks.
type question struct {
	// Have holds the revision of each kind that is asked for.
	Have map[string]int64 `json:"have"`
	// WaitMs is how long to wait for a change, in milliseconds.
	WaitMs int64 `json:"waitMs"`
}

// answer is what a copy lacks.
type answer struct {
	Kinds map[string]kindAnswer `json:"kinds"`
	// HeldMs is how long the question was held, in milliseconds, rounded down.
	HeldMs int64 `json:"heldMs"`
}

type kindAnswer struct {
	Revision int64 `json:"revision"`
	// AgeMs is how long before the answer the copy was proven to be the
	// newest, in milliseconds, rounded up.
	AgeMs   int64        `json:"ageMs"`
	Whole   bool         `json:"whole,omitempty"`
	Changes []wireChange `json:"changes,omitempty"`
}

type wireChange struct {
	mirror.Object
	// Packed is the specification compressed, where it is long; Spec is empty
	// then.
	Packed []byte `json:"packed,omitempty"`
	Gone   bool   `json:"gone,omitempty"`
	// LapseMs is how much longer a removed object may be used.
	LapseMs int64 `json:"lapseMs,omitempty"`
}

// encode returns a delta of a kind as it is sent at now.
func encode(kind string, d mirror.Delta, now time.Time, p *packs) kindAnswer {
	a := kindAnswer{Revision: d.Revision, AgeMs: ceilMs(now.Sub(d.ProvenAt)), Whole: d.Whole}
	for _, c := range d.Changes {
		w := wireChange{Object: c.Object, Gone: c.Gone, LapseMs: max(c.LapsesAt.Sub(now).Milliseconds(), 0)}
		if w.Packed = p.of(kind, &c.Object); w.Packed != nil {
			w.Spec = nil
		}
		a.Changes = append(a.Changes, w)
	}
	return a
}

// decode returns the changes of an answer that came at now.
func (a *kindAnswer) decode(now time.Time) ([]mirror.Change, error) {
	list := make([]mirror.Change, 0, len(a.Changes))
	for _, c := range a.Changes {
		ch := mirror.Change{Object: c.Object, Gone: c.Gone}
		if len(c.Packed) > 0 {
			spec, err := unpack(c.Packed)
			if err != nil {
				return nil, err
			}
			ch.Spec = spec
		}
		if c.LapseMs > 0 {
			ch.LapsesAt = now.Add(time.Duration(c.LapseMs) * time.Millisecond)
		}
		list = append(list, ch)
	}
	return list, nil
}

func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
