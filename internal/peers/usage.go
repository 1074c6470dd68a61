// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/duty"
	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/usage"
)

// UsageReport reports the requests that a router counted in a window. It is sent to the holder of
// the duties and to the routers that would take them over.
type UsageReport struct {
	// Report holds the counts of the sender. Datagrams limit each count to 2^32-1 and each name to
	// 255 bytes.
	usage.Report
	// Gossip is what the sender knows of the duties. WallTime is the time by the wall clock of the
	// sender's VM, without steps that have not lasted.
	Gossip   duty.Gossip
	WallTime time.Time
	// token is the start of the sender's token, for the answer.
	token []byte
}

// UsageAck answers a UsageReport.
type UsageAck struct {
	// Router is the name of the router that answers.
	Router string
	// Incarnation and Window are those of the report. Complete is set if the answering router has
	// all counts of the reporter in the window.
	Incarnation uint64
	Window      usage.Window
	Complete    bool
	// Gossip is what the answering router knows of the duties.
	Gossip duty.Gossip
	// TrueTime is the answering router's estimate of true time.
	TrueTime time.Time
}

const (
	// maxNameBytes is the maximum length of a name, as its length is encoded in one byte.
	maxNameBytes = 255
	// countBytes is the length of a workspace's count, without the name: the length of the name and
	// the count.
	countBytes = 1 + 4
)

// The flags of usage reports, acknowledgements and gossip.
const (
	flagFinal    = 1
	flagComplete = 1
	flagResigned = 2
)

// usageReportHead is the fixed part of an encoded UsageReport. WallTimeMs is in milliseconds since
// the start of 1970 (UTC). The name of the reporter, the gossip and the counts follow.
type usageReportHead struct {
	Token       [tokenBytes]byte
	WallTimeMs  int64
	Incarnation uint64
	Window      int64
	Total       uint64
	Flags       uint8
}

// usageAckHead is the fixed part of an encoded UsageAck. TrueTimeMs is in milliseconds since the
// start of 1970 (UTC). The name of the answering router and the gossip follow.
type usageAckHead struct {
	TrueTimeMs  int64
	Incarnation uint64
	Window      int64
	Flags       uint8
}

// gossipHead is the fixed part of an encoded duty.Gossip. The name of the holder follows. Revision includes
// the epoch.
type gossipHead struct {
	Incarnation uint64
	Revision    int64
	Settled     int64
	Flags       uint8
}

// appendName appends the length of a name in one byte, and the name, which is cut after
// maxNameBytes bytes.
func appendName(b []byte, name string) []byte {
	name = name[:min(len(name), maxNameBytes)]
	return append(append(b, byte(len(name))), name...)
}

// appendGossip appends the encoding of g.
func appendGossip(b []byte, g duty.Gossip) ([]byte, error) {
	h := gossipHead{Incarnation: g.Incarnation, Revision: int64(g.Revision), Settled: int64(g.Settled)}
	if g.Resigned {
		h.Flags = flagResigned
	}
	b, err := binary.Append(b, binary.BigEndian, h)
	return appendName(b, g.Holder), err
}

// decodeFixedPart decodes a part of fixed length from the start of b and returns the rest of b.
func decodeFixedPart[T any](b []byte) (v T, rest []byte, err error) {
	n, err := binary.Decode(b, binary.BigEndian, &v)
	if err != nil {
		return v, nil, errors.Wrap(err, "peers: decode fixed part of usage datagram")
	}
	return v, b[n:], nil
}

// errTruncated means that a datagram ends within a field.
var errTruncated = errors.New("peers: datagram is truncated")

// readName decodes what appendName appended and returns the rest of b.
func readName(b []byte) (name string, rest []byte, err error) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, errTruncated
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], nil
}

// readGossip decodes what appendGossip appended and returns the rest of b.
func readGossip(b []byte) (g duty.Gossip, rest []byte, err error) {
	h, b, err := decodeFixedPart[gossipHead](b)
	if err != nil {
		return g, nil, err
	}
	g = duty.Gossip{Incarnation: h.Incarnation, Revision: epoch.Revision(h.Revision), Settled: usage.Window(h.Settled), Resigned: h.Flags&flagResigned != 0}
	g.Holder, rest, err = readName(b)
	return g, rest, err
}

// encodeUsageReport returns the datagrams that hold a report, at least one. Each has the head and a
// part of the counts, of which each is limited to the range of uint32.
func encodeUsageReport(r *UsageReport) (list [][]byte, err error) {
	h := usageReportHead{WallTimeMs: r.WallTime.UnixMilli(), Incarnation: r.Reporter.Incarnation, Window: int64(r.Window), Total: r.Total}
	copy(h.Token[:], r.token)
	if r.Final {
		h.Flags = flagFinal
	}
	head, err := binary.Append(newDatagram(kindUsageReport, maxDatagramBytes-bodyAt), binary.BigEndian, h)
	if err != nil {
		return nil, errors.Wrap(err, "peers: encode head of usage report")
	}
	head = appendName(head, r.Reporter.Router)
	if head, err = appendGossip(head, r.Gossip); err != nil {
		return nil, errors.Wrap(err, "peers: encode gossip of usage report")
	}
	buf := slices.Clone(head)
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		if len(buf)+len(name)+countBytes > maxDatagramBytes {
			list, buf = append(list, buf), slices.Clone(head)
		}
		buf = appendName(buf, name)
		buf = binary.BigEndian.AppendUint32(buf, uint32(min(r.Counts[name], 1<<32-1)))
	}
	return append(list, buf), nil
}

// decodeUsageReport decodes the body of one datagram of encodeUsageReport.
func decodeUsageReport(b []byte) (*UsageReport, error) {
	h, b, err := decodeFixedPart[usageReportHead](b)
	if err != nil {
		return nil, err
	}
	r := &UsageReport{WallTime: time.UnixMilli(h.WallTimeMs), token: h.Token[:]}
	r.Reporter.Incarnation, r.Window, r.Total, r.Final = h.Incarnation, usage.Window(h.Window), h.Total, h.Flags&flagFinal != 0
	if r.Reporter.Router, b, err = readName(b); err != nil {
		return nil, err
	}
	if r.Gossip, b, err = readGossip(b); err != nil {
		return nil, err
	}
	r.Counts = make(usage.Counts)
	for len(b) > 0 {
		var name string
		if name, b, err = readName(b); err != nil {
			return nil, err
		}
		if len(b) < 4 {
			return nil, errTruncated
		}
		r.Counts[name] = uint64(binary.BigEndian.Uint32(b))
		b = b[4:]
	}
	return r, nil
}

// encodeUsageAck returns the datagram that holds an acknowledgement.
func encodeUsageAck(a UsageAck) ([]byte, error) {
	h := usageAckHead{TrueTimeMs: a.TrueTime.UnixMilli(), Incarnation: a.Incarnation, Window: int64(a.Window)}
	if a.Complete {
		h.Flags = flagComplete
	}
	b, err := binary.Append(newDatagram(kindUsageAck, maxDatagramBytes-bodyAt), binary.BigEndian, h)
	if err != nil {
		return nil, errors.Wrap(err, "peers: encode head of usage acknowledgement")
	}
	b, err = appendGossip(appendName(b, a.Router), a.Gossip)
	return b, errors.Wrap(err, "peers: encode gossip of usage acknowledgement")
}

// decodeUsageAck decodes the body of a datagram of encodeUsageAck.
func decodeUsageAck(b []byte) (a UsageAck, err error) {
	h, b, err := decodeFixedPart[usageAckHead](b)
	if err != nil {
		return a, err
	}
	a = UsageAck{Incarnation: h.Incarnation, Window: usage.Window(h.Window), Complete: h.Flags&flagComplete != 0, TrueTime: time.UnixMilli(h.TrueTimeMs)}
	if a.Router, b, err = readName(b); err != nil {
		return a, err
	}
	a.Gossip, _, err = readGossip(b)
	return a, err
}

// SendUsageReport sends a report to one router, in one datagram or more. Each is answered on its
// own. It sends nothing while this router has no token.
func (t *Transport) SendUsageReport(r UsageReport, to Peer) {
	r.token = make([]byte, tokenBytes)
	if !t.secret.copyTo(r.token) {
		return
	}
	list, err := encodeUsageReport(&r)
	if err != nil {
		t.Log.Error("peers: A usage report could not be encoded.", logs.Err(err))
		return
	}
	for _, b := range list {
		t.Traffic.Usage.Add(t.sendToPeer(to, b))
	}
}

// receiveUsageReport decodes a UsageReport and sends the answer of OnUsageReport, if any.
func (t *Transport) receiveUsageReport(b []byte, from netip.AddrPort) {
	r, err := decodeUsageReport(b)
	if !t.decoded(err, from, "peers: A report of usage could not be decoded.") {
		return
	}
	a, ok := t.OnUsageReport(*r)
	if !ok {
		return
	}
	ack, err := encodeUsageAck(a)
	if err != nil {
		t.Log.Error("peers: A usage acknowledgement could not be encoded.", logs.Err(err))
		return
	}
	t.Traffic.Usage.Add(t.sendToPeer(Peer{Name: r.Reporter.Router, Addr: from, Token: string(r.token)}, ack))
}

// receiveUsageAck decodes a UsageAck.
func (t *Transport) receiveUsageAck(b []byte, from netip.AddrPort) {
	if a, err := decodeUsageAck(b); t.decoded(err, from, "peers: An answer about usage could not be decoded.") {
		t.OnUsageAck(a)
	}
}
