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

// noticeBytes and limitQueryBytes are the lengths of an encoded Notice and LimitQuestion.
const (
	noticeBytes     = 8 + 8 + 1 + 8 + 1 + 1 + 1 + 4
	limitQueryBytes = 8 + 8 + 8 + tokenBytes
)

// SendNotice tells other routers what an endpoint said: some of them, or all.
func (t *Transport) SendNotice(n Notice, all bool) {
	buf := t.encodeFixed(kindNotice, n, noticeBytes)
	if all {
		t.Traffic.Notices.Add(t.sendToPeers(t.fleet.others(), buf))
		return
	}
	t.Traffic.Notices.Add(t.sendToRecipients(buf, allZones))
}

// sendNotices tells a router that starts what endpoints said.
func (t *Transport) sendNotices(list []Notice, to Peer) {
	for _, n := range list {
		t.Traffic.Notices.Add(t.sendToPeer(to, t.encodeFixed(kindNotice, n, noticeBytes)))
	}
}

// SendLimitQuery asks one of the routers that share an endpoint's limit, of which there are so many; draw
// chooses. The answer comes under this router's token.
func (t *Transport) SendLimitQuery(q LimitQuery, sharers int, draw uint64) {
	list := t.fleet.limitSharers(q.Endpoint, sharers)
	if len(list) == 0 || !t.secret.copyTo(q.Token[:]) {
		return
	}
	to := list[draw%uint64(len(list))]
	t.Traffic.Notices.Add(t.sendToPeer(to, t.encodeFixed(kindLimitQuery, q, limitQueryBytes)))
}

// newDatagram returns the start of one of a kind, with room for the hearer's token, whose body has so many
// bytes at most.
func newDatagram(kind byte, maxBody int) []byte {
	b := make([]byte, bodyAt, bodyAt+maxBody)
	b[kindAt] = kind
	return b
}

// encodeFixed returns a datagram with a body of fixed length.
func (t *Transport) encodeFixed(kind byte, body any, size int) []byte {
	buf, err := binary.Append(newDatagram(kind, size), binary.BigEndian, body)
	if err != nil {
		t.Log.Error("peers: A datagram could not be encoded.", logs.Err(err))
	}
	return buf
}

// receiveNotice decodes a Notice.
func (t *Transport) receiveNotice(b []byte, from netip.AddrPort) {
	if n, ok := decodeFixed[Notice](t, b, from, "peers: What an endpoint said could not be decoded."); ok {
		t.OnNotice(from.Addr(), n)
	}
}

// receiveLimitQuery decodes a LimitQuestion and answers it.
func (t *Transport) receiveLimitQuery(b []byte, from netip.AddrPort) {
	q, ok := decodeFixed[LimitQuery](t, b, from, "peers: A question about a limit could not be decoded.")
	if !ok {
		return
	}
	n, ok := t.OnLimitQuery(q)
	if !ok {
		return
	}
	sender := Peer{Name: from.String(), Addr: from, Token: string(q.Token[:])}
	t.Traffic.Notices.Add(t.sendToPeer(sender, t.encodeFixed(kindNotice, n, noticeBytes)))
}

// limitSharers returns the other routers among those that share an endpoint's limit, of which there are
// so many: the first by rendezvous hash, as each of them finds for itself.
func (f *Fleet) limitSharers(endpoint uint64, sharers int) []Peer {
	f.mu.Lock()
	list := slices.Clone(f.ranked())
	f.mu.Unlock()
	weight := func(p Peer) uint64 { return pool.Weight(endpoint, xxhash.Sum64String(p.Name)) }
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(weight(b), weight(a)) })
	list = list[:min(len(list), sharers)]
	return slices.DeleteFunc(list, func(p Peer) bool { return p.Name == f.self })
}
