// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

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
	// Ability is how much the VM bears, in thousandths of a processor core; 0 if that is
	// not known.
	Ability int `json:"ability,omitempty"`
	// Token is what its peers have to show; a router that starts again on its VM goes
	// on with the one that is registered.
	Token string `json:"token"`
	// Revision is that of the registration.
	Revision int64 `json:"-"`
}

// Continues reports whether a router is what an earlier life of its VM registered, so that it
// may go on with that registration.
func (p Peer) Continues(old Peer) bool {
	return old.Name == p.Name && old.Addr == p.Addr && old.Zone == p.Zone && old.Ability == p.Ability && len(old.Token) >= tokenBytes
}

// path is where peers ask.
const path = "/changes"

// question asks for what a copy lacks.
type question struct {
	// Have holds the revision of each kind that is asked for.
	Have map[string]int64 `json:"have"`
	// WaitMs is how long to wait for a change, in milliseconds.
	WaitMs int64 `json:"waitMs"`
	// Proof says that the asker knows of no well informed peer: one that is ill informed
	// too answers once it is not.
	Proof bool `json:"proof,omitempty"`
	// Follows says that the asker passes on what it learns: it is answered as soon as the copy was
	// proven anew.
	Follows bool `json:"follows,omitempty"`
	// Packs says that the asker reads whole lists compressed.
	Packs bool `json:"packs,omitempty"`
}

// starting reports whether the asker has no copy of anything.
func (q *question) starting() bool {
	for _, revision := range q.Have {
		if revision >= 0 {
			return false
		}
	}
	return true
}

// answer is what a copy lacks.
type answer struct {
	Kinds map[string]kindAnswer `json:"kinds"`
	// HeldMs is how long the question was held, in milliseconds, rounded down.
	HeldMs int64 `json:"heldMs"`
	// Verdicts are what the store may lack of the requests that crash endpoints, for a peer
	// that starts; see encodeVerdicts.
	Verdicts []byte `json:"verdicts,omitempty"`
}

type kindAnswer struct {
	Revision int64 `json:"revision"`
	// AgeMs is how long before the answer the copy was proven to be the
	// newest, in milliseconds, rounded up.
	AgeMs   int64        `json:"ageMs"`
	Whole   bool         `json:"whole,omitempty"`
	Changes []wireChange `json:"changes,omitempty"`
	// Bytes is how many bytes behind the answer hold the changes compressed, where they
	// are a whole list that is long; packed holds them.
	Bytes  int `json:"bytes,omitempty"`
	packed []byte
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

// write writes an answer: a line of JSON, and behind it what is compressed, in the order of
// the kinds' names.
func (a *answer) write(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(a); err != nil {
		return errors.Wrap(err, "peers")
	}
	for _, kind := range slices.Sorted(maps.Keys(a.Kinds)) {
		if _, err := w.Write(a.Kinds[kind].packed); err != nil {
			return errors.Wrap(err, "peers")
		}
	}
	return nil
}

// readAnswer reads what write wrote.
func readAnswer(r io.Reader) (*answer, error) {
	in := bufio.NewReader(r)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	var a answer
	if err := json.Unmarshal(line, &a); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	for _, kind := range slices.Sorted(maps.Keys(a.Kinds)) {
		k := a.Kinds[kind]
		if k.Bytes < 0 || k.Bytes > answerMost {
			return nil, errors.Newf("peers: a list of %d bytes", k.Bytes)
		}
		k.packed = make([]byte, k.Bytes)
		if _, err := io.ReadFull(in, k.packed); err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		a.Kinds[kind] = k
	}
	return &a, nil
}

// encode returns a delta of a kind, whose proof is so old, as it is sent at now; whole lists are
// compressed if the asker reads that.
func encode(kind string, d mirror.Delta, age time.Duration, now time.Time, p *packs, packed bool) kindAnswer {
	a := kindAnswer{Revision: d.Revision, AgeMs: ceilMs(age), Whole: d.Full}
	if packed && d.Full && len(d.Changes) >= packsFrom {
		if a.packed = p.list(kind, d); a.packed != nil {
			a.Bytes = len(a.packed)
			return a
		}
	}
	for _, c := range d.Changes {
		w := wireChange{Object: c.Object, Gone: c.Removed, LapseMs: max(c.LapsesAt.Sub(now).Milliseconds(), 0)}
		if w.Packed = p.of(kind, &c.Object); w.Packed != nil {
			w.Spec = nil
		}
		a.Changes = append(a.Changes, w)
	}
	return a
}

// decode returns the changes of an answer that came at now.
func (a *kindAnswer) decode(now time.Time) ([]mirror.Change, error) {
	if a.Bytes > 0 {
		return unpackList(a.packed)
	}
	list := make([]mirror.Change, 0, len(a.Changes))
	for _, c := range a.Changes {
		ch := mirror.Change{Object: c.Object, Removed: c.Gone}
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
