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
	// nameMost bounds a name, in bytes; its length takes one byte.
	nameMost = 255
	// entryBytes is what a workspace's count takes beside its name.
	entryBytes = 1 + 4
)

// The flags of reports and answers.
const (
	flagFinal    = 1
	flagComplete = 1
	flagResigned = 2
)

// usageHead is the fixed part of a report.
type usageHead struct {
	Token  [tokenBytes]byte
	Clock  int64
	Life   uint64
	Window int64
	Total  uint64
	Flags  uint8
}

// answerHead is the fixed part of an answer.
type answerHead struct {
	Clock  int64
	Life   uint64
	Window int64
	Flags  uint8
}

// wordHead is the fixed part of a word.
type wordHead struct {
	Life     uint64
	Revision int64
	Settled  int64
	Flags    uint8
}

// appendName appends a name and its length; one that is too long is cut.
func appendName(b []byte, name string) []byte {
	name = name[:min(len(name), nameMost)]
	return append(append(b, byte(len(name))), name...)
}

// appendWord appends a word.
func appendWord(b []byte, w duty.Gossip) ([]byte, error) {
	h := wordHead{Life: w.Incarnation, Revision: w.Revision, Settled: int64(w.Settled)}
	if w.Resigned {
		h.Flags = flagResigned
	}
	b, err := binary.Append(b, binary.BigEndian, h)
	return appendName(b, w.Holder), err
}

// fixed reads a part of fixed length from the start of b.
func fixed[T any](b []byte) (v T, rest []byte, err error) {
	n, err := binary.Decode(b, binary.BigEndian, &v)
	if err != nil {
		return v, nil, errors.Wrap(err, "peers")
	}
	return v, b[n:], nil
}

// errShort says that a datagram ends too soon.
var errShort = errors.New("peers: the datagram ends too soon")

// readName reads what appendName appended.
func readName(b []byte) (name string, rest []byte, err error) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, errShort
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], nil
}

// readWord reads what appendWord appended.
func readWord(b []byte) (w duty.Gossip, rest []byte, err error) {
	h, b, err := fixed[wordHead](b)
	if err != nil {
		return w, nil, err
	}
	w = duty.Gossip{Incarnation: h.Life, Revision: h.Revision, Settled: usage.Window(h.Settled), Resigned: h.Flags&flagResigned != 0}
	w.Holder, rest, err = readName(b)
	return w, rest, err
}

// encodeUsage returns the datagrams that hold a report, each with a part of the counts.
func encodeUsage(r *UsageReport) (list [][]byte, err error) {
	h := usageHead{Clock: r.LocalTime.UnixMilli(), Life: r.Reporter.Incarnation, Window: int64(r.Window), Total: r.Total}
	copy(h.Token[:], r.token)
	if r.Final {
		h.Flags = flagFinal
	}
	head, err := binary.Append(datagram(kindUsage, datagramMost-bodyAt), binary.BigEndian, h)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	head = appendName(head, r.Reporter.Router)
	if head, err = appendWord(head, r.Gossip); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	buf := slices.Clone(head)
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		if len(buf)+len(name)+entryBytes > datagramMost {
			list, buf = append(list, buf), slices.Clone(head)
		}
		buf = appendName(buf, name)
		buf = binary.BigEndian.AppendUint32(buf, uint32(min(r.Counts[name], 1<<32-1)))
	}
	return append(list, buf), nil
}

// decodeUsage decodes the body of a datagram of encodeUsage.
func decodeUsage(b []byte) (*UsageReport, error) {
	h, b, err := fixed[usageHead](b)
	if err != nil {
		return nil, err
	}
	r := &UsageReport{LocalTime: time.UnixMilli(h.Clock), token: h.Token[:]}
	r.Reporter.Incarnation, r.Window, r.Total, r.Final = h.Life, usage.Window(h.Window), h.Total, h.Flags&flagFinal != 0
	if r.Reporter.Router, b, err = readName(b); err != nil {
		return nil, err
	}
	if r.Gossip, b, err = readWord(b); err != nil {
		return nil, err
	}
	r.Counts = make(usage.Counts)
	for len(b) > 0 {
		var name string
		if name, b, err = readName(b); err != nil {
			return nil, err
		}
		if len(b) < 4 {
			return nil, errShort
		}
		r.Counts[name] = uint64(binary.BigEndian.Uint32(b))
		b = b[4:]
	}
	return r, nil
}

// encodeAnswer returns the datagram that holds an answer.
func encodeAnswer(a UsageAck) ([]byte, error) {
	h := answerHead{Clock: a.TrueTime.UnixMilli(), Life: a.Incarnation, Window: int64(a.Window)}
	if a.Complete {
		h.Flags = flagComplete
	}
	b, err := binary.Append(datagram(kindUsageAnswer, datagramMost-bodyAt), binary.BigEndian, h)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	b, err = appendWord(appendName(b, a.Router), a.Gossip)
	return b, errors.Wrap(err, "peers")
}

// decodeAnswer decodes the body of a datagram of encodeAnswer.
func decodeAnswer(b []byte) (a UsageAck, err error) {
	h, b, err := fixed[answerHead](b)
	if err != nil {
		return a, err
	}
	a = UsageAck{Incarnation: h.Life, Window: usage.Window(h.Window), Complete: h.Flags&flagComplete != 0, TrueTime: time.UnixMilli(h.Clock)}
	if a.Router, b, err = readName(b); err != nil {
		return a, err
	}
	a.Gossip, _, err = readWord(b)
	return a, err
}

// SendUsageReport tells a router what this one counted; the answer comes under this router's token.
func (n *Transport) SendUsageReport(r UsageReport, to Peer) {
	r.token = make([]byte, tokenBytes)
	if !n.secret.copyTo(r.token) {
		return
	}
	list, err := encodeUsage(&r)
	if err != nil {
		n.Log.Error("peers: A report of usage could not be encoded.", logs.Err(err))
		return
	}
	for _, b := range list {
		n.Traffic.Usage.Add(n.sendOne(to, b))
	}
}

// hearUsage decodes a UsageReport and answers it.
func (n *Transport) hearUsage(b []byte, from netip.AddrPort) {
	r, err := decodeUsage(b)
	if !n.sound(err, from, "peers: A report of usage could not be decoded.") {
		return
	}
	a, ok := n.OnUsageReport(*r)
	if !ok {
		return
	}
	answer, err := encodeAnswer(a)
	if err != nil {
		n.Log.Error("peers: An answer about usage could not be encoded.", logs.Err(err))
		return
	}
	n.Traffic.Usage.Add(n.sendOne(Peer{Name: r.Reporter.Router, Addr: from, Token: string(r.token)}, answer))
}

// hearUsageAnswer decodes a UsageAnswer.
func (n *Transport) hearUsageAnswer(b []byte, from netip.AddrPort) {
	if a, err := decodeAnswer(b); n.sound(err, from, "peers: An answer about usage could not be decoded.") {
		n.OnUsageAck(a)
	}
}
