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
	"github.com/traildrift/traildrift/pkg/usage"
)

// UsageReport is what a router tells the holder of the duties, and those that would follow it,
// of a window.
type UsageReport struct {
	usage.Report
	// Gossip is what the teller knows of the duties, Clock what its clock alone shows.
	Gossip    duty.Gossip
	LocalTime time.Time
	// token is the teller's, for the answer.
	token []byte
}

// UsageAck answers a UsageReport.
type UsageAck struct {
	// Router is the hearer that answers.
	Router string
	// Incarnation and Window are the report's; Complete says that all that its teller counted in it is
	// known.
	Incarnation uint64
	Window      usage.Window
	Complete    bool
	Gossip      duty.Gossip
	// TrueTime is the true time as the hearer knows it.
	TrueTime time.Time
}

const (
	// maxNameBytes bounds a name, in bytes; its length takes one byte.
	maxNameBytes = 255
	// countBytes is what a workspace's count takes beside its name.
	countBytes = 1 + 4
)

// The flags of reports and answers.
const (
	flagFinal    = 1
	flagComplete = 1
	flagResigned = 2
)

// usageReportHead is the fixed part of a report.
type usageReportHead struct {
	Token       [tokenBytes]byte
	LocalTimeMs int64
	Incarnation uint64
	Window      int64
	Total       uint64
	Flags       uint8
}

// usageAckHead is the fixed part of an answer.
type usageAckHead struct {
	TrueTimeMs  int64
	Incarnation uint64
	Window      int64
	Flags       uint8
}

// gossipHead is the fixed part of a word.
type gossipHead struct {
	Incarnation uint64
	Revision    int64
	Settled     int64
	Flags       uint8
}

// appendName appends a name and its length; one that is too long is cut.
func appendName(b []byte, name string) []byte {
	name = name[:min(len(name), maxNameBytes)]
	return append(append(b, byte(len(name))), name...)
}

// appendGossip appends a word.
func appendGossip(b []byte, g duty.Gossip) ([]byte, error) {
	h := gossipHead{Incarnation: g.Incarnation, Revision: g.Revision, Settled: int64(g.Settled)}
	if g.Resigned {
		h.Flags = flagResigned
	}
	b, err := binary.Append(b, binary.BigEndian, h)
	return appendName(b, g.Holder), err
}

// decodeFixedPart reads a part of decodeFixedPart length from the start of b.
func decodeFixedPart[T any](b []byte) (v T, rest []byte, err error) {
	n, err := binary.Decode(b, binary.BigEndian, &v)
	if err != nil {
		return v, nil, errors.Wrap(err, "peers")
	}
	return v, b[n:], nil
}

// errTruncated says that a datagram ends too soon.
var errTruncated = errors.New("peers: the datagram ends too soon")

// readName reads what appendName appended.
func readName(b []byte) (name string, rest []byte, err error) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, errTruncated
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], nil
}

// readGossip reads what appendWord appended.
func readGossip(b []byte) (g duty.Gossip, rest []byte, err error) {
	h, b, err := decodeFixedPart[gossipHead](b)
	if err != nil {
		return g, nil, err
	}
	g = duty.Gossip{Incarnation: h.Incarnation, Revision: h.Revision, Settled: usage.Window(h.Settled), Resigned: h.Flags&flagResigned != 0}
	g.Holder, rest, err = readName(b)
	return g, rest, err
}

// encodeUsageReport returns the datagrams that hold a report, each with a part of the counts.
func encodeUsageReport(r *UsageReport) (list [][]byte, err error) {
	h := usageReportHead{LocalTimeMs: r.LocalTime.UnixMilli(), Incarnation: r.Reporter.Incarnation, Window: int64(r.Window), Total: r.Total}
	copy(h.Token[:], r.token)
	if r.Final {
		h.Flags = flagFinal
	}
	head, err := binary.Append(newDatagram(kindUsageReport, maxDatagramBytes-bodyAt), binary.BigEndian, h)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	head = appendName(head, r.Reporter.Router)
	if head, err = appendGossip(head, r.Gossip); err != nil {
		return nil, errors.Wrap(err, "peers")
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

// decodeUsageReport decodes the body of a datagram of encodeUsage.
func decodeUsageReport(b []byte) (*UsageReport, error) {
	h, b, err := decodeFixedPart[usageReportHead](b)
	if err != nil {
		return nil, err
	}
	r := &UsageReport{LocalTime: time.UnixMilli(h.LocalTimeMs), token: h.Token[:]}
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

// encodeUsageAck returns the datagram that holds an answer.
func encodeUsageAck(a UsageAck) ([]byte, error) {
	h := usageAckHead{TrueTimeMs: a.TrueTime.UnixMilli(), Incarnation: a.Incarnation, Window: int64(a.Window)}
	if a.Complete {
		h.Flags = flagComplete
	}
	b, err := binary.Append(newDatagram(kindUsageAck, maxDatagramBytes-bodyAt), binary.BigEndian, h)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	b, err = appendGossip(appendName(b, a.Router), a.Gossip)
	return b, errors.Wrap(err, "peers")
}

// decodeUsageAck decodes the body of a datagram of encodeAnswer.
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

// SendUsageReport tells a router what this one counted; the answer comes under this router's token.
func (t *Transport) SendUsageReport(r UsageReport, to Peer) {
	r.token = make([]byte, tokenBytes)
	if !t.secret.copyTo(r.token) {
		return
	}
	list, err := encodeUsageReport(&r)
	if err != nil {
		t.Log.Error("peers: A report of usage could not be encoded.", logs.Err(err))
		return
	}
	for _, b := range list {
		t.Traffic.Usage.Add(t.sendToPeer(to, b))
	}
}

// receiveUsageReport decodes a UsageReport and answers it.
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
		t.Log.Error("peers: An answer about usage could not be encoded.", logs.Err(err))
		return
	}
	t.Traffic.Usage.Add(t.sendToPeer(Peer{Name: r.Reporter.Router, Addr: from, Token: string(r.token)}, ack))
}

// receiveUsageAck decodes a UsageAnswer.
func (t *Transport) receiveUsageAck(b []byte, from netip.AddrPort) {
	if a, err := decodeUsageAck(b); t.decoded(err, from, "peers: An answer about usage could not be decoded.") {
		t.OnUsageAck(a)
	}
}
