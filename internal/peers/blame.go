// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/blame"
	"github.com/traildrift/traildrift/pkg/mixer"
)

// Struck is word of a request under which an endpoint ended, or that was answered whole.
type Struck struct {
	Print blame.Print
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// AgeMs is how long the request had been there, in milliseconds.
	AgeMs uint32
	// Whole says that the request was answered, which clears it.
	Whole bool
}

const (
	// keepersMost is how many routers hear what endpoints ended under one request: the
	// same ones from all routers, so that they know all of it. With eight, one hears it
	// though a tenth of the datagrams are lost and a zone's routers are gone.
	keepersMost = 8
	// againTo is how many routers, drawn anew each time, verdicts are told again to: with
	// each router doing so once a second all know after two or three.
	againTo = 3
	// verdictsMost is how many verdicts one datagram takes, and endsTold how many ends of
	// each.
	verdictsMost = 6
	endsTold     = 12
)

// VerdictsAgain is how many verdicts are worth telling again at a time.
const VerdictsAgain = 3 * verdictsMost

// verdictHead begins an encoded verdict; its ends follow.
type verdictHead struct {
	Print blame.Print
	Round uint32
	// LeftMs is how much longer it holds, in milliseconds.
	LeftMs uint32
	Ends   uint8
}

// verdictEnd is an end as it is told.
type verdictEnd struct {
	Endpoint uint64
	// AgoMs is how long ago it was, in milliseconds.
	AgoMs uint32
}

// encodeVerdicts appends verdicts as they are told at now.
func encodeVerdicts(dst []byte, list []blame.Verdict, now time.Time) ([]byte, error) {
	for _, v := range list {
		ends := v.Ends[:min(len(v.Ends), endsTold)]
		parts := []any{verdictHead{v.Print, uint32(v.Round), millisOf(v.Until.Sub(now)), uint8(len(ends))}}
		for _, e := range ends {
			parts = append(parts, verdictEnd{e.Endpoint, millisOf(now.Sub(e.At))})
		}
		for _, part := range parts {
			var err error
			if dst, err = binary.Append(dst, binary.BigEndian, part); err != nil {
				return dst, errors.Wrap(err, "peers")
			}
		}
	}
	return dst, nil
}

// millisOf returns a time in whole milliseconds; 0 for one that has passed.
func millisOf(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

// decodeVerdicts decodes what encodeVerdicts encoded, word of which came at now.
func decodeVerdicts(b []byte, now time.Time) ([]blame.Verdict, error) {
	var list []blame.Verdict
	for in := bytes.NewReader(b); in.Len() > 0; {
		var h verdictHead
		if err := binary.Read(in, binary.BigEndian, &h); err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		v := blame.Verdict{Print: h.Print, Round: int(h.Round), Until: now.Add(time.Duration(h.LeftMs) * time.Millisecond)}
		ends := make([]verdictEnd, h.Ends)
		if err := binary.Read(in, binary.BigEndian, ends); err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		for _, e := range ends {
			v.Ends = append(v.Ends, blame.End{Endpoint: e.Endpoint, At: now.Add(-time.Duration(e.AgoMs) * time.Millisecond)})
		}
		list = append(list, v)
	}
	return list, nil
}

// SendStruck tells the routers that keep what endpoints ended under the request.
func (n *Notes) SendStruck(s Struck) {
	buf := make([]byte, bodyAt, bodyAt+strikeBytes)
	buf[kindAt] = kindStruck
	buf, err := binary.Append(buf, binary.BigEndian, s)
	if err != nil {
		n.Log.Error("peers: Word of an end could not be encoded.", logs.Err(err))
		return
	}
	n.Traffic.Blames.Add(n.sendTo(n.fleet.keepers(s.Print), buf))
}

// strikeBytes is the length of an encoded Struck.
const strikeBytes = blame.PrintBytes + 8 + 4 + 1

// SendVerdicts tells all other routers of verdicts that are new or changed.
func (n *Notes) SendVerdicts(list []blame.Verdict) { n.sendVerdicts(list, n.fleet.others()) }

// SendAgain tells a few other routers of verdicts that they may have missed.
func (n *Notes) SendAgain(list []blame.Verdict) {
	n.sendVerdicts(list, some(n.fleet.others(), againTo))
}

func (n *Notes) sendVerdicts(list []blame.Verdict, to []Peer) {
	for part := range slices.Chunk(list, verdictsMost) {
		buf := make([]byte, bodyAt, datagramMost)
		buf[kindAt] = kindVerdicts
		buf, err := encodeVerdicts(buf, part, time.Now())
		if err != nil {
			n.Log.Error("peers: Verdicts could not be encoded.", logs.Err(err))
			return
		}
		n.Traffic.Blames.Add(n.sendTo(to, buf))
	}
}

// others returns all other routers, whatever became of them, in random order.
func (f *Fleet) others() (list []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.byName {
		if p.Name != f.self {
			list = append(list, p)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// place returns where a router stands in the order in which routers keep a request's ends, the
// same at all routers (rendezvous hashing: Thaler and Ravishankar, 1998).
func place(name string, p blame.Print) uint64 {
	return mixer.Mix(xxhash.Sum64String(name) ^ binary.BigEndian.Uint64(p[:]))
}

// keepers returns the other routers that keep what endpoints ended under a request.
func (f *Fleet) keepers(p blame.Print) []Peer {
	list := f.others()
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(place(a.Name, p), place(b.Name, p)) })
	return list[:min(len(list), keepersMost)]
}

// Rank returns how many routers come before this one for a request.
func (f *Fleet) Rank(p blame.Print) (rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := place(f.self, p)
	for name := range f.byName {
		if place(name, p) < own {
			rank++
		}
	}
	return rank
}
