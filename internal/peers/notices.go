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

// Notice relays what an endpoint announced about itself: it was received from the endpoint by the
// sender, or answers a LimitQuery. Its fields are the encoding: their order, types and number must
// stay.
type Notice struct {
	// Endpoint is the hash of the endpoint's ID, and Incarnation that of the incarnation which made
	// the announcement.
	Endpoint, Incarnation uint64
	// Limit is a pool.LimitStatus, and PerSecond the limit in requests per second from all routers
	// together; valid if Limit is pool.Limited.
	Limit     uint8
	PerSecond float64
	// Leaving announces that the endpoint accepts no new work.
	Leaving bool
	// IsAnswer is set in the answer to a LimitQuery. Granted then says whether the recipient may
	// send one request out of the sender's share of the limit.
	IsAnswer, Granted bool
	// WaitMs is the time for which the sender has no more requests to grant, in milliseconds.
	WaitMs uint32
}

// LimitQuery asks a router to grant one request out of its share of an endpoint's limit. The answer
// is a Notice. Its fields are the encoding: their order, types and number must stay.
type LimitQuery struct {
	// Endpoint is the hash of the endpoint's ID, and Incarnation that of its incarnation.
	Endpoint, Incarnation uint64
	// PerSecond is the limit known to the sender, in requests per second.
	PerSecond float64
	// Token is the start of the sender's token, with which the answer begins; SendLimitQuery sets
	// it.
	Token [tokenBytes]byte
}

// noticeBytes and limitQueryBytes are the lengths of an encoded Notice and LimitQuery.
const (
	noticeBytes     = 8 + 8 + 1 + 8 + 1 + 1 + 1 + 4
	limitQueryBytes = 8 + 8 + 8 + tokenBytes
)

// SendNotice sends what an endpoint announced to all other routers, also those backed off from, or
// if all is not set, to at most maxRecipients that are not.
func (t *Transport) SendNotice(n Notice, all bool) {
	buf := t.encodeFixed(kindNotice, n, noticeBytes)
	if all {
		t.Traffic.Notices.Add(t.sendToPeers(t.fleet.others(), buf))
		return
	}
	t.Traffic.Notices.Add(t.sendToRecipients(buf, allZones))
}

// sendNotices sends the notices in a list to a router that has just started.
func (t *Transport) sendNotices(list []Notice, to Peer) {
	for _, n := range list {
		t.Traffic.Notices.Add(t.sendToPeer(to, t.encodeFixed(kindNotice, n, noticeBytes)))
	}
}

// SendLimitQuery sends a query to one of the other routers that share an endpoint's limit, selected
// by draw. sharers is the number of routers that share it, including this one if it does. It sends
// nothing if there is no other sharer or this router has no token.
func (t *Transport) SendLimitQuery(q LimitQuery, sharers int, draw uint64) {
	list := t.fleet.limitSharers(q.Endpoint, sharers)
	if len(list) == 0 || !t.secret.copyTo(q.Token[:]) {
		return
	}
	to := list[draw%uint64(len(list))]
	t.Traffic.Notices.Add(t.sendToPeer(to, t.encodeFixed(kindLimitQuery, q, limitQueryBytes)))
}

// newDatagram returns the start of a datagram of one kind, with zeros for the recipient's token and
// capacity for a body of maxBody bytes.
func newDatagram(kind byte, maxBody int) []byte {
	b := make([]byte, bodyAt, bodyAt+maxBody)
	b[kindAt] = kind
	return b
}

// encodeFixed returns a datagram with a body of fixed length, size bytes. It returns nil, which is
// not sent, if the body cannot be encoded.
func (t *Transport) encodeFixed(kind byte, body any, size int) []byte {
	buf, err := binary.Append(newDatagram(kind, size), binary.BigEndian, body)
	if err != nil {
		t.Log.Error("peers: A datagram could not be encoded.", logs.Err(err))
		return nil
	}
	return buf
}

// receiveNotice decodes a Notice and passes it to OnNotice.
func (t *Transport) receiveNotice(b []byte, from netip.AddrPort) {
	if n, ok := decodeFixed[Notice](t, b, from, "peers: What an endpoint said could not be decoded."); ok {
		t.OnNotice(from.Addr(), n)
	}
}

// receiveLimitQuery decodes a LimitQuery and sends the answer of OnLimitQuery, if any.
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

// limitSharers returns the other routers among those that share an endpoint's limit: the first ones
// by rendezvous hash, sharers in number, as each router computes for itself.
func (f *Fleet) limitSharers(endpoint uint64, sharers int) []Peer {
	f.mu.Lock()
	list := slices.Clone(f.ranked())
	f.mu.Unlock()
	weight := func(p Peer) uint64 { return pool.Weight(endpoint, xxhash.Sum64String(p.Name)) }
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(weight(b), weight(a)) })
	list = list[:min(len(list), sharers)]
	return slices.DeleteFunc(list, func(p Peer) bool { return p.Name == f.self })
}
