// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/pool"
)

// Notice is what an endpoint has said of itself: what a router was told by the endpoint, or its
// answer to a LimitQuestion.
type Notice struct {
	// Endpoint is the hash of the endpoint's ID, and Incarnation names the life that said it.
	Endpoint, Incarnation uint64
	// Limit is a pool.LimitStatus, and PerSecond the requests a second of a limit.
	Limit     uint8
	PerSecond float64
	// Leaving says that the endpoint takes no new work any more.
	Leaving bool
	// Granted says that the hearer may send one request in the teller's place, which was asked
	// for that; IsAnswer says that this is an answer, whether granted or not.
	IsAnswer, Granted bool
	// WaitMs is how long the teller has nothing more to grant, in milliseconds.
	WaitMs uint32
}

// LimitQuery asks a router to grant a request out of its share of a limit.
type LimitQuery struct {
	Endpoint, Incarnation uint64
	// PerSecond is the limit as the asker knows it.
	PerSecond float64
	// Token is the asker's, for the answer.
	Token [tokenBytes]byte
}

// noticeBytes and questionBytes are the lengths of an encoded Notice and LimitQuestion.
const (
	noticeBytes   = 8 + 8 + 1 + 8 + 1 + 1 + 1 + 4
	questionBytes = 8 + 8 + 8 + tokenBytes
)

// SendNotice tells other routers what an endpoint said: some of them, or all.
func (n *Transport) SendNotice(l Notice, all bool) {
	buf := n.encode(kindNotice, l, noticeBytes)
	if all {
		n.Traffic.Notices.Add(n.sendTo(n.fleet.others(), buf))
		return
	}
	n.Traffic.Notices.Add(n.send(buf, everybody))
}

// sendNotices tells a router that starts what endpoints said.
func (n *Transport) sendNotices(list []Notice, to Peer) {
	for _, l := range list {
		n.Traffic.Notices.Add(n.sendOne(to, n.encode(kindNotice, l, noticeBytes)))
	}
}

// SendLimitQuery asks one of the routers that share an endpoint's limit, of which there are so many; draw
// chooses. The answer comes under this router's token.
func (n *Transport) SendLimitQuery(q LimitQuery, holders int, draw uint64) {
	list := n.fleet.holders(q.Endpoint, holders)
	if len(list) == 0 || !n.secret.copyTo(q.Token[:]) {
		return
	}
	to := list[draw%uint64(len(list))]
	n.Traffic.Notices.Add(n.sendOne(to, n.encode(kindQuestion, q, questionBytes)))
}

// datagram returns the start of one of a kind, with room for the hearer's token, whose body has so many
// bytes at most.
func datagram(kind byte, most int) []byte {
	b := make([]byte, bodyAt, bodyAt+most)
	b[kindAt] = kind
	return b
}

// encode returns a datagram with a body of fixed length.
func (n *Transport) encode(kind byte, body any, size int) []byte {
	buf, err := binary.Append(datagram(kind, size), binary.BigEndian, body)
	if err != nil {
		n.Log.Error("peers: A datagram could not be encoded.", logs.Err(err))
	}
	return buf
}

// hearNotice decodes a Notice.
func (n *Transport) hearNotice(b []byte, from netip.AddrPort) {
	if l, ok := decodeFixed[Notice](n, b, from, "peers: What an endpoint said could not be decoded."); ok {
		n.OnNotice(from.Addr(), l)
	}
}

// hearQuestion decodes a LimitQuestion and answers it.
func (n *Transport) hearQuestion(b []byte, from netip.AddrPort) {
	q, ok := decodeFixed[LimitQuery](n, b, from, "peers: A question about a limit could not be decoded.")
	if !ok {
		return
	}
	l, ok := n.OnLimitQuery(q)
	if !ok {
		return
	}
	asker := Peer{Name: from.String(), Addr: from, Token: string(q.Token[:])}
	n.Traffic.Notices.Add(n.sendOne(asker, n.encode(kindNotice, l, noticeBytes)))
}

// holders returns the other routers among those that share an endpoint's limit, of which there are
// so many: the first by rendezvous hash, as each of them finds for itself.
func (f *Fleet) holders(endpoint uint64, most int) []Peer {
	f.mu.Lock()
	list := slices.Clone(f.ranked())
	f.mu.Unlock()
	weight := func(p Peer) uint64 { return pool.Weight(endpoint, xxhash.Sum64String(p.Name)) }
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(weight(b), weight(a)) })
	list = list[:min(len(list), most)]
	return slices.DeleteFunc(list, func(p Peer) bool { return p.Name == f.self })
}
