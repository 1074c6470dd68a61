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

// AttemptReport reports an attempt of a router at an endpoint.
type AttemptReport struct {
	// From is the sender's address; the recipient sets it.
	From netip.Addr
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// Busy is how long the request keeps the endpoint busy, from the receipt of the report. It is
	// sent in milliseconds.
	Busy time.Duration
	// Failed is set if the attempt got no complete answer.
	Failed bool
	// Silent is set if streams of the sender at the endpoint have stopped.
	Silent bool
	// Prefix identifies the prompt prefix that the endpoint holds once it has read the request; 0
	// for none.
	Prefix uint64
}

// Transport sends and receives the datagrams between routers. They are not acknowledged: a loss
// makes a few decisions slightly worse, and data that must arrive is sent again by its sender.
// Create it with NewTransport; its exported fields are set before Run. Run calls the handlers,
// whose names begin with On, one at a time; the sending methods are safe for concurrent use.
type Transport struct {
	Log   *zap.Logger
	fleet *Fleet
	conn  *net.UDPConn
	// secret is the token with which datagrams to this router begin.
	secret *Secret
	// OnAttemptReport and OnTrialReport are called with each report received.
	OnAttemptReport func(r AttemptReport)
	OnTrialReport   func(r roll.Report)
	// OnCrashReport and OnVerdicts are called with what was received about requests under which
	// endpoints crashed.
	OnCrashReport func(r CrashReport)
	OnVerdicts    func(list []poison.Verdict)
	// OnPartReports is called with the reports on parts of prompts in a datagram.
	OnPartReports func(list []poison.PartReport)
	// OnNotice is called with each notice received from the router at an address: announcements of
	// endpoints, and answers to limit queries. OnLimitQuery is called with each limit query, and
	// returns the answer; none is sent if ok is false. Notices returns the notices to send to a
	// router that has just started.
	OnNotice     func(from netip.Addr, n Notice)
	OnLimitQuery func(q LimitQuery) (n Notice, ok bool)
	Notices      func() []Notice
	// OnUsageReport is called with each usage report received, and returns the answer; none is sent
	// if ok is false. OnUsageAck is called with the answers to this router's reports.
	OnUsageReport func(r UsageReport) (a UsageAck, ok bool)
	OnUsageAck    func(a UsageAck)
	// Verdicts returns the verdicts to send to a router that has just started.
	Verdicts func() []poison.Verdict
	// Traffic counts the bytes sent.
	Traffic *Traffic
}

const (
	// tokenBytes is the length of the start of the recipient's token with which a datagram begins.
	tokenBytes = 16
	// kindAt is the offset of the byte that holds the kind of the datagram, bodyAt that of its
	// body.
	kindAt = tokenBytes
	bodyAt = kindAt + 1
	// kindAttemptReport is the kind of an AttemptReport.
	kindAttemptReport = 1
	// kindTrialReport is the kind of a roll.Report; see encodeTrialReport.
	kindTrialReport = 2
	// kindCrashReport is the kind of a CrashReport, kindVerdicts that of verdicts; see
	// encodeVerdicts.
	kindCrashReport = 3
	kindVerdicts    = 4
	// kindStateQuery is the kind of a query of a router that has just started. The body is the
	// start of its token, for the datagrams with verdicts and notices that answer it.
	kindStateQuery = 5
	// kindNotice is the kind of a Notice, kindLimitQuery that of a LimitQuery.
	kindNotice     = 6
	kindLimitQuery = 7
	// kindUsageReport is the kind of a UsageReport, kindUsageAck that of a UsageAck.
	kindUsageReport = 8
	kindUsageAck    = 9
	// kindPartReports is the kind of reports on parts; see SendPartReports. kindPartVerdicts is that of
	// verdicts on parts.
	kindPartReports  = 10
	kindPartVerdicts = 11
	// The body of an AttemptReport holds Endpoint, Busy in milliseconds, a byte of flags at
	// flagsAt, and Prefix at prefixAt, which routers of an earlier release leave out.
	flagsAt            = bodyAt + 8 + 4
	prefixAt           = flagsAt + 1
	attemptReportBytes = prefixAt + 8
	// flagFailed is the flag for Failed, flagSilent that for Silent.
	flagFailed = 1
	flagSilent = 2
	// maxBusy limits Busy in the reports received.
	maxBusy = 30 * time.Second
)

// NewTransport opens the UDP socket at addr, the address at which this router also answers pulls.
// onAttemptReport becomes OnAttemptReport; the other handlers ignore what they receive until they
// are set.
func NewTransport(log *zap.Logger, f *Fleet, addr netip.AddrPort, secret *Secret, onAttemptReport func(AttemptReport)) (*Transport, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "peers: listen for datagrams")
	}
	return &Transport{Log: log, fleet: f, conn: conn, secret: secret, OnAttemptReport: onAttemptReport, OnTrialReport: func(roll.Report) {}, OnCrashReport: func(CrashReport) {}, OnVerdicts: func([]poison.Verdict) {}, OnPartReports: func([]poison.PartReport) {}, Verdicts: func() []poison.Verdict { return nil },
		OnNotice: func(netip.Addr, Notice) {}, OnLimitQuery: func(LimitQuery) (l Notice, ok bool) { return l, false }, Notices: func() []Notice { return nil }, Traffic: &Traffic{},
		OnUsageReport: func(UsageReport) (a UsageAck, ok bool) { return a, false }, OnUsageAck: func(UsageAck) {}}, nil
}

// Run receives datagrams until ctx is done, and then closes the socket. It drops those that do not
// begin with the token and those of more than maxDatagramBytes. It returns an error if the socket fails before.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	// A longer datagram fills the further byte, as a read cuts it without an error.
	buf := make([]byte, maxDatagramBytes+1)
	for {
		size, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "peers: receive datagram")
		}
		if size > maxDatagramBytes {
			t.Log.Warn("peers: A datagram is too long and was dropped.", zap.Stringer("from", from))
			continue
		}
		if size < bodyAt || !t.secret.matchesPrefix(buf[:size]) {
			continue
		}
		t.receive(buf[:size], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receive decodes a datagram that begins with the token, and calls its handler. It ignores one of
// an unknown kind.
func (t *Transport) receive(b []byte, from netip.AddrPort) {
	body := b[bodyAt:]
	switch b[kindAt] {
	case kindAttemptReport:
		t.receiveAttemptReport(b, from)
	case kindTrialReport:
		t.receiveTrialReport(body, from)
	case kindCrashReport:
		t.receiveCrashReport(body, from)
	case kindVerdicts, kindPartVerdicts:
		t.receiveVerdicts(body, from, b[kindAt] == kindPartVerdicts)
	case kindPartReports:
		t.receivePartReports(body, from)
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

// receiveAttemptReport decodes an AttemptReport from a whole datagram, and ignores one that is too
// short.
func (t *Transport) receiveAttemptReport(b []byte, from netip.AddrPort) {
	if len(b) < prefixAt {
		return
	}
	ms := binary.BigEndian.Uint32(b[bodyAt+8:])
	r := AttemptReport{From: from.Addr(), Endpoint: binary.BigEndian.Uint64(b[bodyAt:]), Busy: min(time.Duration(ms)*time.Millisecond, maxBusy), Failed: b[flagsAt]&flagFailed != 0, Silent: b[flagsAt]&flagSilent != 0}
	if len(b) >= attemptReportBytes {
		r.Prefix = binary.BigEndian.Uint64(b[prefixAt:])
	}
	t.OnAttemptReport(r)
}

// receiveTrialReport decodes a roll.Report.
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

// decodeFixed decodes a body of fixed length. If it is too short, decodeFixed logs message and
// returns false.
func decodeFixed[T any](t *Transport, b []byte, from netip.AddrPort, message string) (v T, ok bool) {
	_, err := binary.Decode(b, binary.BigEndian, &v)
	return v, t.decoded(err, from, message)
}

// decoded reports whether err is nil, which is the result of decoding a datagram. Otherwise it logs
// message.
func (t *Transport) decoded(err error, from netip.AddrPort, message string) bool {
	if err != nil {
		t.Log.Warn(message, zap.Stringer("from", from), logs.Err(err))
	}
	return err == nil
}

// receivePartReports decodes reports on parts.
func (t *Transport) receivePartReports(b []byte, from netip.AddrPort) {
	list, err := decodePartReports(b)
	t.decoded(err, from, "peers: Reports on parts could not be decoded.")
	if len(list) > 0 {
		t.OnPartReports(list)
	}
}

// receiveVerdicts decodes verdicts, on parts if withParts is set.
func (t *Transport) receiveVerdicts(b []byte, from netip.AddrPort, withParts bool) {
	list, err := decodeVerdicts(b, time.Now(), withParts)
	t.decoded(err, from, "peers: Verdicts could not be decoded.")
	if len(list) > 0 {
		t.OnVerdicts(list)
	}
}

// receiveStateQuery answers the query of a router that has just started, whose token the body
// holds.
func (t *Transport) receiveStateQuery(token []byte, from netip.AddrPort) {
	if len(token) != tokenBytes {
		return
	}
	to := Peer{Name: from.String(), Addr: from, Token: string(token)}
	t.sendVerdicts(t.Verdicts(), []Peer{to})
	t.sendNotices(t.Notices(), to)
}

// Recipients selects the routers to which an AttemptReport is sent, of which there are at most
// maxRecipients. The zero value selects none.
type Recipients struct {
	// Zone is the availability zone whose routers come first, with those whose zone is not known;
	// empty for no zone.
	Zone string
	// OtherZones adds routers of the other zones, up to maxRecipients in all.
	OtherZones bool
}

// allZones selects routers regardless of their availability zone.
var allZones = Recipients{OtherZones: true}

// SendAttemptReport sends a report to other routers. It ignores r.From.
func (t *Transport) SendAttemptReport(r AttemptReport, to Recipients) {
	var buf [attemptReportBytes]byte
	buf[kindAt] = kindAttemptReport
	binary.BigEndian.PutUint64(buf[bodyAt:], r.Endpoint)
	binary.BigEndian.PutUint32(buf[bodyAt+8:], uint32(r.Busy.Milliseconds()))
	if r.Failed {
		buf[flagsAt] |= flagFailed
	}
	if r.Silent {
		buf[flagsAt] |= flagSilent
	}
	binary.BigEndian.PutUint64(buf[prefixAt:], r.Prefix)
	t.Traffic.AttemptReports.Add(t.sendToRecipients(buf[:], to))
}

// SendTrialReport sends this router's report of a trial to at most maxRecipients other routers.
func (t *Transport) SendTrialReport(r roll.Report) {
	buf, err := encodeTrialReport(newDatagram(kindTrialReport, maxDatagramBytes-bodyAt), r)
	if err != nil {
		t.Log.Error("peers: A trial report could not be encoded.", logs.Err(err))
		return
	}
	t.Traffic.TrialReports.Add(t.sendToRecipients(buf, allZones))
}

// sendToRecipients sends a datagram, in which it sets the recipient's token, to several routers,
// and returns the total number of bytes sent.
func (t *Transport) sendToRecipients(buf []byte, to Recipients) (bytes int64) {
	t.fleet.forEachRecipient(to, func(p Peer) { bytes += t.sendToPeer(p, buf) })
	return bytes
}

// sendToPeers is sendToRecipients for a list of routers.
func (t *Transport) sendToPeers(list []Peer, buf []byte) (bytes int64) {
	for _, p := range list {
		bytes += t.sendToPeer(p, buf)
	}
	return bytes
}

// sendToPeer sends a datagram, in which it sets the recipient's token, to one router, and returns
// the number of bytes sent. It sends nothing if buf is nil.
func (t *Transport) sendToPeer(p Peer, buf []byte) int64 {
	if buf == nil {
		return 0
	}
	copy(buf[:tokenBytes], p.Token)
	if _, err := t.conn.WriteToUDPAddrPort(buf, p.Addr); err != nil {
		t.Log.Debug("peers: A datagram could not be sent.", zap.String("peer", p.Name), logs.Err(err))
		return 0
	}
	return int64(len(buf))
}

// maxRecipients is the maximum number of routers that receive one report, so that the number of
// datagrams does not grow with the square of the fleet. If more are selected, each report goes to
// others, drawn at random.
const maxRecipients = 32

// forEachRecipient calls do for the selected routers that are not backed off from, at most
// maxRecipients of them. Routers whose zone is not known belong to every zone.
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

// sample returns list, or limit of its elements drawn at random if it has more. It may reorder
// list.
func sample(list []Peer, limit int) []Peer {
	if len(list) <= limit {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(limit, 0)]
}
