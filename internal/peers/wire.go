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
	// Millicores is how much the VM bears, in thousandths of a processor core; 0 if that is
	// not known.
	Millicores int `json:"ability,omitempty"`
	// Token is what its peers have to show; a router that starts again on its VM goes
	// on with the one that is registered.
	Token string `json:"token"`
	// Revision is that of the registration.
	Revision int64 `json:"-"`
}

// MatchesRegistration reports whether a router is what an earlier life of its VM registered, so that it
// may go on with that registration.
func (p Peer) MatchesRegistration(old Peer) bool {
	return old.Name == p.Name && old.Addr == p.Addr && old.Zone == p.Zone && old.Millicores == p.Millicores && len(old.Token) >= tokenBytes
}

// pullPath is where peers ask.
const pullPath = "/changes"

// pullRequest asks for what a copy lacks.
type pullRequest struct {
	// Have holds the revision of each kind that is asked for.
	Have map[string]int64 `json:"have"`
	// WaitMs is how long to wait for a change, in milliseconds.
	WaitMs int64 `json:"waitMs"`
	// AwaitFresh says that the asker knows of no well informed peer: one that is ill informed
	// too answers once it is not.
	AwaitFresh bool `json:"proof,omitempty"`
	// FromRelay says that the asker passes on what it learns: it is answered as soon as the copy was
	// proven anew.
	FromRelay bool `json:"follows,omitempty"`
	// AcceptsCompressed says that the asker reads whole lists compressed.
	AcceptsCompressed bool `json:"packs,omitempty"`
}

// hasNothing reports whether the asker has no copy of anything.
func (q *pullRequest) hasNothing() bool {
	for _, revision := range q.Have {
		if revision >= 0 {
			return false
		}
	}
	return true
}

// pullResponse is what a copy lacks.
type pullResponse struct {
	Kinds map[string]kindChanges `json:"kinds"`
	// HeldMs is how long the question was held, in milliseconds, rounded down.
	HeldMs int64 `json:"heldMs"`
	// Verdicts are what the store may lack of the requests that crash endpoints, for a peer
	// that starts; see encodeVerdicts.
	Verdicts []byte `json:"verdicts,omitempty"`
}

type kindChanges struct {
	Revision int64 `json:"revision"`
	// AgeMs is how long before the answer the copy was proven to be the
	// newest, in milliseconds, rounded up.
	AgeMs   int64        `json:"ageMs"`
	Whole   bool         `json:"whole,omitempty"`
	Changes []wireChange `json:"changes,omitempty"`
	// Bytes is how many bytes behind the answer hold the changes compressed, where they
	// are a whole list that is long; packed holds them.
	Bytes      int `json:"bytes,omitempty"`
	compressed []byte
}

type wireChange struct {
	mirror.Object
	// Compressed is the specification compressed, where it is long; Spec is empty
	// then.
	Compressed []byte `json:"packed,omitempty"`
	Gone       bool   `json:"gone,omitempty"`
	// LapseMs is how much longer a removed object may be used.
	LapseMs int64 `json:"lapseMs,omitempty"`
}

// encode writes an answer: a line of JSON, and behind it what is compressed, in the order of
// the kinds' names.
func (a *pullResponse) encode(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(a); err != nil {
		return errors.Wrap(err, "peers")
	}
	for _, kind := range slices.Sorted(maps.Keys(a.Kinds)) {
		if _, err := w.Write(a.Kinds[kind].compressed); err != nil {
			return errors.Wrap(err, "peers")
		}
	}
	return nil
}

// decodeResponse reads what write wrote.
func decodeResponse(r io.Reader) (*pullResponse, error) {
	in := bufio.NewReader(r)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	var a pullResponse
	if err := json.Unmarshal(line, &a); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	for _, kind := range slices.Sorted(maps.Keys(a.Kinds)) {
		k := a.Kinds[kind]
		if k.Bytes < 0 || k.Bytes > maxResponseBytes {
			return nil, errors.Newf("peers: a list of %d bytes", k.Bytes)
		}
		k.compressed = make([]byte, k.Bytes)
		if _, err := io.ReadFull(in, k.compressed); err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		a.Kinds[kind] = k
	}
	return &a, nil
}

// encodeDelta returns a delta of a kind, whose proof is so old, as it is sent at now; whole lists are
// compressed if the asker reads that.
func encodeDelta(kind string, d mirror.Delta, age time.Duration, now time.Time, p *compressionCache, compress bool) kindChanges {
	a := kindChanges{Revision: d.Revision, AgeMs: ceilMs(age), Whole: d.Whole}
	if compress && d.Whole && len(d.Changes) >= minCompressedList {
		if a.compressed = p.list(kind, d); a.compressed != nil {
			a.Bytes = len(a.compressed)
			return a
		}
	}
	for _, c := range d.Changes {
		w := wireChange{Object: c.Object, Gone: c.Gone, LapseMs: max(c.LapsesAt.Sub(now).Milliseconds(), 0)}
		if w.Compressed = p.spec(kind, &c.Object); w.Compressed != nil {
			w.Spec = nil
		}
		a.Changes = append(a.Changes, w)
	}
	return a
}

// decode returns the changes of an answer that came at now.
func (a *kindChanges) decode(now time.Time) ([]mirror.Change, error) {
	if a.Bytes > 0 {
		return decompressList(a.compressed)
	}
	list := make([]mirror.Change, 0, len(a.Changes))
	for _, c := range a.Changes {
		ch := mirror.Change{Object: c.Object, Gone: c.Gone}
		if len(c.Compressed) > 0 {
			spec, err := decompress(c.Compressed)
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
