// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/roll"
)

// AttemptReport is what a router tells of an endpoint.
type AttemptReport struct {
	// From is the teller's address; the hearer sets it.
	From netip.Addr
	// Endpoint is the hash of its ID.
	Endpoint uint64
	// Busy is how long a request of the teller keeps the endpoint busy, from
	// when the note is heard.
	Busy time.Duration
	// Failed says that an attempt of the teller got no whole answer.
	Failed bool
	// Prefix names what the endpoint holds once it has read the request; 0 for nothing.
	Prefix uint64
}

// Transport sends notes to all routers and hears theirs. Transport go by datagram: one
// that is lost makes a choice a little worse, no more.
type Transport struct {
	Log   *zap.Logger
	fleet *Fleet
	conn  *net.UDPConn
	// secret is what notes to this router begin with.
	secret *Secret
	// OnAttemptReport and OnReport are called for each note and each report on a trial that
	// is heard, by one goroutine; set OnReport before Run.
	OnAttemptReport func(r AttemptReport)
	OnTrialReport   func(r roll.Report)
	// OnCrashReport and OnVerdicts are called likewise for word of requests under which endpoints
	// crashed; set them before Run.
	OnCrashReport func(r CrashReport)
	OnVerdicts    func(list []poison.Verdict)
	// OnNotice is called for what endpoints said and for answers to questions, OnQuestion for
	// questions, with what to answer, if anything; Notices returns what a router that starts should
	// know of that. Set them before Run.
	OnNotice     func(from netip.Addr, n Notice)
	OnLimitQuery func(q LimitQuery) (n Notice, ok bool)
	Notices      func() []Notice
	// OnUsageReport is called for reports of usage, with what to answer, if anything, and OnUsageAnswer
	// for the answers; set them before Run.
	OnUsageReport func(r UsageReport) (a UsageAck, ok bool)
	OnUsageAck    func(a UsageAck)
	// Verdicts returns what a router that starts should know of such requests; set before Run.
	Verdicts func() []poison.Verdict
	// Traffic counts the notes and reports; set before the first.
	Traffic *Traffic
}

const (
	// tokenBytes is how much of the hearer's token a note begins with.
	tokenBytes = 16
	// kindAt is where a byte tells what follows the token.
	kindAt            = tokenBytes
	bodyAt            = kindAt + 1
	kindAttemptReport = 1
	// kindTrialReport is followed by a report; see encodeReport.
	kindTrialReport = 2
	// kindCrashReport is followed by a CrashReport, kindVerdicts by verdicts; see encodeVerdicts.
	kindCrashReport = 3
	kindVerdicts    = 4
	// kindStateQuery is followed by the token of a router that has just started and wants to know
	// what others do of such requests.
	kindStateQuery = 5
	// kindNotice is followed by a Notice, kindQuestion by a LimitQuestion.
	kindNotice     = 6
	kindLimitQuery = 7
	// kindUsageReport is followed by a UsageReport, kindUsageAnswer by a UsageAnswer.
	kindUsageReport = 8
	kindUsageAck    = 9
	// A note is the endpoint, the milliseconds that it is busy, a byte of flags, and
	// the prefix, which routers of an earlier release leave out.
	flagsAt            = bodyAt + 8 + 4
	prefixAt           = flagsAt + 1
	attemptReportBytes = prefixAt + 8
	// flagFailed is the flag of a failure.
	flagFailed = 1
	// maxBusy bounds what a note may claim.
	maxBusy = 30 * time.Second
)

// NewTransport listens for notes where the router answers its peers.
func NewTransport(log *zap.Logger, f *Fleet, addr netip.AddrPort, secret *Secret, onAttemptReport func(AttemptReport)) (*Transport, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return &Transport{Log: log, fleet: f, conn: conn, secret: secret, OnAttemptReport: onAttemptReport, OnTrialReport: func(roll.Report) {}, OnCrashReport: func(CrashReport) {}, OnVerdicts: func([]poison.Verdict) {}, Verdicts: func() []poison.Verdict { return nil },
		OnNotice: func(netip.Addr, Notice) {}, OnLimitQuery: func(LimitQuery) (l Notice, ok bool) { return l, false }, Notices: func() []Notice { return nil }, Traffic: &Traffic{},
		OnUsageReport: func(UsageReport) (a UsageAck, ok bool) { return a, false }, OnUsageAck: func(UsageAck) {}}, nil
}

// Run hears notes until ctx is done.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "peers")
		}
		if size < bodyAt || !t.secret.matchesPrefix(buf[:size]) {
			continue
		}
		t.receive(buf[:size], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receive decodes a datagram with the right token.
func (t *Transport) receive(b []byte, from netip.AddrPort) {
	body := b[bodyAt:]
	switch b[kindAt] {
	case kindAttemptReport:
		t.receiveAttemptReport(b, from)
	case kindTrialReport:
		t.receiveTrialReport(body, from)
	case kindCrashReport:
		t.receiveCrashReport(body, from)
	case kindVerdicts:
		t.receiveVerdicts(body, from)
	case kindNotice:
		t.receiveNotice(body, from)
	case kindLimitQuery:
		t.receiveLimitQuery(body, from)
	case kindStateQuery:
		t.receiveStateQuery(body, from)
	case kindUsageReport:
		t.receiveUsageReport(body, from)
	case kindUsageAck:
		t.receiveUsageAck(body, from)
	}
}

// receiveAttemptReport decodes a Note from a whole datagram.
func (t *Transport) receiveAttemptReport(b []byte, from netip.AddrPort) {
	if len(b) < prefixAt {
		return
	}
	ms := binary.BigEndian.Uint32(b[bodyAt+8:])
	r := AttemptReport{From: from.Addr(), Endpoint: binary.BigEndian.Uint64(b[bodyAt:]), Busy: min(time.Duration(ms)*time.Millisecond, maxBusy), Failed: b[flagsAt]&flagFailed != 0}
	if len(b) >= attemptReportBytes {
		r.Prefix = binary.BigEndian.Uint64(b[prefixAt:])
	}
	t.OnAttemptReport(r)
}

// receiveTrialReport decodes a report on a trial.
func (t *Transport) receiveTrialReport(b []byte, from netip.AddrPort) {
	if r, err := decodeTrialReport(b); t.decoded(err, from, "peers: A report could not be decoded.") {
		t.OnTrialReport(r)
	}
}

// receiveCrashReport decodes a CrashReport.
func (t *Transport) receiveCrashReport(b []byte, from netip.AddrPort) {
	if r, ok := decodeFixed[CrashReport](t, b, from, "peers: A crash report could not be decoded."); ok {
		t.OnCrashReport(r)
	}
}

// decodeFixed decodes a body of fixed length; one that is too short is logged as the message says.
func decodeFixed[T any](t *Transport, b []byte, from netip.AddrPort, message string) (v T, ok bool) {
	_, err := binary.Decode(b, binary.BigEndian, &v)
	return v, t.decoded(err, from, message)
}

// decoded reports whether a datagram could be decoded; one that could not is logged as the message says.
func (t *Transport) decoded(err error, from netip.AddrPort, message string) bool {
	if err != nil {
		t.Log.Warn(message, zap.Stringer("from", from), logs.Err(err))
	}
	return err == nil
}

// receiveVerdicts decodes verdicts.
func (t *Transport) receiveVerdicts(b []byte, from netip.AddrPort) {
	if list, err := decodeVerdicts(b, time.Now()); t.decoded(err, from, "peers: Verdicts could not be decoded.") {
		t.OnVerdicts(list)
	}
}

// receiveStateQuery tells a router that has just started, whose token follows, what it should know.
func (t *Transport) receiveStateQuery(token []byte, from netip.AddrPort) {
	if len(token) != tokenBytes {
		return
	}
	to := Peer{Name: from.String(), Addr: from, Token: string(token)}
	t.sendVerdicts(t.Verdicts(), []Peer{to})
	t.sendNotices(t.Notices(), to)
}

// Recipients says which routers hear a note: those of an availability zone first, and with
// Others some of the rest as well. The zero value is nobody.
type Recipients struct {
	Zone       string
	OtherZones bool
}

// allZones is the audience of what concerns all alike.
var allZones = Recipients{OtherZones: true}

// SendAttemptReport tells other routers.
func (t *Transport) SendAttemptReport(r AttemptReport, to Recipients) {
	var buf [attemptReportBytes]byte
	buf[kindAt] = kindAttemptReport
	binary.BigEndian.PutUint64(buf[bodyAt:], r.Endpoint)
	binary.BigEndian.PutUint32(buf[bodyAt+8:], uint32(r.Busy.Milliseconds()))
	if r.Failed {
		buf[flagsAt] = flagFailed
	}
	binary.BigEndian.PutUint64(buf[prefixAt:], r.Prefix)
	t.Traffic.AttemptReports.Add(t.sendToRecipients(buf[:], to))
}

// SendTrialReport tells all other routers what this one saw of a trial.
func (t *Transport) SendTrialReport(r roll.Report) {
	buf, err := encodeTrialReport(newDatagram(kindTrialReport, maxDatagramBytes-bodyAt), r)
	if err != nil {
		t.Log.Error("peers: A report could not be encoded.", logs.Err(err))
		return
	}
	t.Traffic.TrialReports.Add(t.sendToRecipients(buf, allZones))
}

// sendToRecipients sends a datagram, which begins with room for the hearer's token, and returns the
// bytes that were sent to all.
func (t *Transport) sendToRecipients(buf []byte, to Recipients) (bytes int64) {
	t.fleet.forEachRecipient(to, func(p Peer) { bytes += t.sendToPeer(p, buf) })
	return bytes
}

// sendToPeers is send to named routers.
func (t *Transport) sendToPeers(list []Peer, buf []byte) (bytes int64) {
	for _, p := range list {
		bytes += t.sendToPeer(p, buf)
	}
	return bytes
}

// sendToPeer sends a datagram to one router and returns its bytes.
func (t *Transport) sendToPeer(p Peer, buf []byte) int64 {
	copy(buf[:tokenBytes], p.Token)
	if _, err := t.conn.WriteToUDPAddrPort(buf, p.Addr); err != nil {
		t.Log.Debug("peers: A note was not sent.", zap.String("peer", p.Name), logs.Err(err))
		return 0
	}
	return int64(len(buf))
}

// maxRecipients bounds the routers that hear one note, so that notes do not grow with
// the square of the fleet. Where there are more, each note goes to others.
const maxRecipients = 32

// forEachRecipient calls do for the routers of an audience that are not shunned, for toldMost of them at
// most. Routers that do not tell their zone are in forEachRecipient.
func (f *Fleet) forEachRecipient(to Recipients, do func(Peer)) {
	now := time.Now()
	f.mu.Lock()
	var zone, others []Peer
	for _, p := range f.ranked() {
		switch {
		case p.Name == f.self || !now.After(f.backoffUntil[p.Name]):
		case to.Zone != "" && (p.Zone == to.Zone || p.Zone == ""):
			zone = append(zone, p)
		case to.OtherZones:
			others = append(others, p)
		}
	}
	f.mu.Unlock()
	for _, p := range append(sample(zone, maxRecipients), sample(others, maxRecipients-len(zone))...) {
		do(p)
	}
}

// sample returns at most so many of a list, drawn at random if there are more.
func sample(list []Peer, limit int) []Peer {
	if len(list) <= limit {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(limit, 0)]
}
