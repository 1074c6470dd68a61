// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/logs"
	"github.com/traildrift/traildrift/pkg/mixer"
	"github.com/traildrift/traildrift/pkg/poison"
)

// CrashReport reports that an endpoint crashed under a request, or that the request completed. Its
// fields are the encoding: their order, types and number must stay.
type CrashReport struct {
	Fingerprint poison.Fingerprint
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// AgeMs is the time for which the request had been at the endpoint when it crashed, in
	// milliseconds.
	AgeMs uint32
	// Completed is set if the request got a complete answer, which clears it of suspicion.
	Completed bool
}

const (
	// maxCollectors is the number of other routers that receive the crash reports of one request:
	// the same ones from all routers, so that each of them has all reports. With eight, at least
	// one receives a report although a tenth of the datagrams are lost and the routers of one zone
	// are down.
	maxCollectors = 8
	// PartCollectors is the number of other routers that receive the reports on one part of prompts.
	// These are many in a wave of crashes, and a part that crashes endpoints is reported again with
	// each of them.
	PartCollectors = 4
	// resendFanout is the number of routers, drawn anew each time, to which verdicts are sent
	// again. With each router doing so once a second, all have them after two or three seconds.
	resendFanout = 3
	// maxVerdictsPerDatagram is the maximum number of verdicts in one datagram, and
	// maxCrashesPerVerdict that of crashes in each verdict.
	maxVerdictsPerDatagram = 6
	maxCrashesPerVerdict   = poison.MaxReportedCrashes
	// maxPartVerdictsPerDatagram is that for verdicts on parts, each with a text of 255 bytes at most.
	maxPartVerdictsPerDatagram = 3
)

// MaxResentVerdicts is the maximum number of verdicts to pass to one call of
// Transport.ResendVerdicts.
const MaxResentVerdicts = 3 * maxVerdictsPerDatagram

// verdictHead is the fixed part of an encoded verdict. Its crashes follow, each a verdictCrash.
type verdictHead struct {
	Fingerprint poison.Fingerprint
	Round       uint32
	// RemainingMs is the time until the verdict expires, in milliseconds.
	RemainingMs uint32
	Crashes     uint8
}

// The encoding of a verdict on a part is that of a verdict, followed by the length of the part's
// text form, in one byte, and the text. Routers of earlier releases, which judge any suspect as a
// request, ignore the datagrams that hold it.

// verdictCrash is the encoding of a crash.
type verdictCrash struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// AgeMs is the time since the crash was observed, in milliseconds.
	AgeMs uint32
}

// encodeVerdicts appends the encoding of verdicts to dst. Times are encoded relative to now. Of
// each verdict it encodes at most maxCrashesPerVerdict crashes, those that were reported last. withParts says
// that the verdicts are on parts. A verdict that can't be encoded is left out; the error names it.
func encodeVerdicts(dst []byte, list []poison.Verdict, now time.Time, withParts bool) (all []byte, bad error) {
	for _, v := range list {
		text, err := encodeVerdict(v, now, withParts)
		if err != nil {
			bad = errors.Join(bad, err)
			continue
		}
		dst = append(dst, text...)
	}
	return dst, bad
}

// encodeVerdict returns the encoding of one verdict; see encodeVerdicts.
func encodeVerdict(v poison.Verdict, now time.Time, withParts bool) (dst []byte, err error) {
	crashes := v.Crashes[max(len(v.Crashes)-maxCrashesPerVerdict, 0):]
	parts := []any{verdictHead{v.Fingerprint, uint32(v.Round), millisOf(v.Until.Sub(now)), uint8(len(crashes))}}
	for _, e := range crashes {
		parts = append(parts, verdictCrash{e.Endpoint, millisOf(now.Sub(e.At))})
	}
	for _, part := range parts {
		if dst, err = binary.Append(dst, binary.BigEndian, part); err != nil {
			return dst, errors.Wrap(err, "peers: encode verdict")
		}
	}
	if withParts {
		return appendPart(dst, v.Part)
	}
	return dst, nil
}

// appendPart appends the length of a part's text form, in one byte, and the text.
func appendPart(dst []byte, p poison.Part) ([]byte, error) {
	text, err := p.MarshalText()
	if err != nil {
		return dst, errors.Wrap(err, "peers: encode part")
	}
	return append(append(dst, uint8(len(text))), text...), nil
}

// readPart reads what appendPart appended.
func readPart(in *bytes.Reader) (p poison.Part, err error) {
	size, err := in.ReadByte()
	if err != nil {
		return p, errors.Wrap(err, "peers: decode length of part")
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(in, text); err != nil {
		return p, errors.Wrap(err, "peers: decode part")
	}
	return p, p.UnmarshalText(text)
}

// millisOf returns d in whole milliseconds, limited to the range of uint32; 0 if d is negative.
func millisOf(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

// decodeVerdicts decodes what encodeVerdicts encoded and this router received at now. A verdict whose part is not valid is
// left out; the error names it. Data that ends early has the verdicts before that.
func decodeVerdicts(b []byte, now time.Time, withParts bool) (list []poison.Verdict, bad error) {
	for in := bytes.NewReader(b); in.Len() > 0; {
		var h verdictHead
		if err := binary.Read(in, binary.BigEndian, &h); err != nil {
			return list, errors.Join(bad, errors.Wrap(err, "peers: decode head of verdict"))
		}
		v := poison.Verdict{Fingerprint: h.Fingerprint, Round: int(h.Round), Until: now.Add(time.Duration(h.RemainingMs) * time.Millisecond)}
		crashes := make([]verdictCrash, h.Crashes)
		if err := binary.Read(in, binary.BigEndian, crashes); err != nil {
			return list, errors.Join(bad, errors.Wrap(err, "peers: decode crashes of verdict"))
		}
		for _, e := range crashes {
			v.Crashes = append(v.Crashes, poison.Crash{Endpoint: e.Endpoint, At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond)})
		}
		if withParts {
			part, err := readPart(in)
			if err != nil {
				bad = errors.Join(bad, err)
				continue
			}
			v.Part = part
		}
		list = append(list, v)
	}
	return list, bad
}

// SendCrashReport sends a report to the collectors of its request.
func (t *Transport) SendCrashReport(r CrashReport) {
	buf, err := binary.Append(newDatagram(kindCrashReport, crashReportBytes), binary.BigEndian, r)
	if err != nil {
		t.Log.Error("peers: A crash report could not be encoded.", logs.Err(err))
		return
	}
	t.Traffic.Quarantines.Add(t.sendToPeers(t.fleet.collectors(r.Fingerprint), buf))
}

// crashReportBytes is the length of an encoded CrashReport.
const crashReportBytes = poison.FingerprintBytes + 8 + 4 + 1

// SendVerdicts sends verdicts that are new or changed, or suspicions, to all other routers, also those backed off
// from.
func (t *Transport) SendVerdicts(list []poison.Verdict) { t.sendVerdicts(list, t.fleet.others()) }

// ResendVerdicts sends verdicts to resendFanout other routers drawn at random, which may have
// missed them.
func (t *Transport) ResendVerdicts(list []poison.Verdict) {
	t.sendVerdicts(list, sample(t.fleet.others(), resendFanout))
}

// stateQueryFanout is the number of routers to which a router that has just started sends a state
// query. In a fleet of nine each router knows all verdicts, and an answer takes up to 30 KB after a
// wave of crashes.
const stateQueryFanout = 4

// QueryState sends a state query to some routers for one that has just started. They send their
// verdicts and notices under token, which is this router's; one of fewer than 16 bytes sends
// nothing.
func (t *Transport) QueryState(token string) {
	if len(token) < tokenBytes {
		return
	}
	t.Traffic.Quarantines.Add(t.sendToPeers(sample(t.fleet.others(), stateQueryFanout), append(newDatagram(kindStateQuery, tokenBytes), token[:tokenBytes]...)))
}

// sendVerdicts sends verdicts to the routers in to, several in a datagram.
func (t *Transport) sendVerdicts(list []poison.Verdict, to []Peer) {
	requests, parts := splitVerdicts(list)
	t.sendVerdictsOf(kindVerdicts, requests, maxVerdictsPerDatagram, to)
	t.sendVerdictsOf(kindPartVerdicts, parts, maxPartVerdictsPerDatagram, to)
}

// sendVerdictsOf sends verdicts in datagrams of a kind, each with so many at most.
func (t *Transport) sendVerdictsOf(kind byte, list []poison.Verdict, perDatagram int, to []Peer) {
	for chunk := range slices.Chunk(list, perDatagram) {
		buf, err := encodeVerdicts(newDatagram(kind, maxDatagramBytes-bodyAt), chunk, time.Now(), kind == kindPartVerdicts)
		if err != nil {
			t.Log.Error("peers: Verdicts could not be encoded.", logs.Err(err))
		}
		if len(buf) > bodyAt {
			t.Traffic.Quarantines.Add(t.sendToPeers(to, buf))
		}
	}
}

// splitVerdicts returns the verdicts on requests and those on parts. One on a part whose text form is not known, as
// a router of an earlier release stored it, is left out: other routers read it from the store.
func splitVerdicts(list []poison.Verdict) (requests, parts []poison.Verdict) {
	for _, v := range list {
		switch {
		case !v.Fingerprint.IsPart():
			requests = append(requests, v)
		case v.Part != (poison.Part{}):
			parts = append(parts, v)
		}
	}
	return requests, parts
}

// partReportHead is the fixed part of an encoded poison.PartReport, which the part itself follows; see
// appendPart. Times are in milliseconds, Survival is in percent.
type partReportHead struct {
	Endpoint   uint64
	AgeMs      uint32
	Holder     uint64
	Survival   uint8
	SoundAgeMs uint32
}

// SendPartReports sends reports to the collectors of their parts. Those for one router share datagrams.
func (t *Transport) SendPartReports(list []poison.PartReport) {
	type queue struct {
		to  Peer
		buf []byte
	}
	queues := make(map[string]*queue)
	for _, r := range list {
		head := partReportHead{r.Endpoint, millisOf(r.Age), r.Holder, uint8(100 * min(r.Survival, 1)), millisOf(r.SoundAge)}
		text, err := binary.Append(nil, binary.BigEndian, head)
		if err == nil {
			text, err = appendPart(text, r.Part)
		}
		if err != nil {
			t.Log.Error("peers: A report on a part could not be encoded.", logs.Err(err))
			continue
		}
		collectors := t.fleet.collectors(r.Part.OfAnyCaller().Subject().Fingerprint)
		for _, p := range collectors[:min(len(collectors), PartCollectors)] {
			q := queues[p.Name]
			if q == nil {
				q = &queue{to: p, buf: newDatagram(kindPartReports, maxDatagramBytes-bodyAt)}
				queues[p.Name] = q
			}
			if len(q.buf)+len(text) > maxDatagramBytes {
				t.Traffic.Quarantines.Add(t.sendToPeers([]Peer{p}, q.buf))
				q.buf = newDatagram(kindPartReports, maxDatagramBytes-bodyAt)
			}
			q.buf = append(q.buf, text...)
		}
	}
	for _, q := range queues {
		t.Traffic.Quarantines.Add(t.sendToPeers([]Peer{q.to}, q.buf))
	}
}

// decodePartReports decodes the body of a datagram with reports on parts. A report whose part is not valid is left out; the
// error names it. Data that ends early has the reports before that.
func decodePartReports(b []byte) (list []poison.PartReport, bad error) {
	for in := bytes.NewReader(b); in.Len() > 0; {
		var h partReportHead
		if err := binary.Read(in, binary.BigEndian, &h); err != nil {
			return list, errors.Join(bad, errors.Wrap(err, "peers: decode report on a part"))
		}
		r := poison.PartReport{Endpoint: h.Endpoint, Age: time.Duration(h.AgeMs) * time.Millisecond, Holder: h.Holder, Survival: float64(h.Survival) / 100, SoundAge: time.Duration(h.SoundAgeMs) * time.Millisecond}
		part, err := readPart(in)
		if err != nil {
			bad = errors.Join(bad, err)
			continue
		}
		r.Part = part
		list = append(list, r)
	}
	return list, bad
}

// others returns all other registered routers, also those that are backed off from, in no
// particular order.
func (f *Fleet) others() (list []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.byName {
		if p.Name != f.self {
			list = append(list, p)
		}
	}
	return list
}

// collectorHash is the rendezvous hash of a router for a request's fingerprint, the same in every
// process: the routers with the lowest are the collectors (Thaler and Ravishankar, 1998).
func collectorHash(name string, p poison.Fingerprint) uint64 {
	return mixer.Mix(xxhash.Sum64String(name) ^ binary.BigEndian.Uint64(p[:]))
}

// collectors returns the other routers that collect the crash reports of a request, at most
// maxCollectors.
func (f *Fleet) collectors(p poison.Fingerprint) []Peer {
	list := f.others()
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(collectorHash(a.Name, p), collectorHash(b.Name, p)) })
	return list[:min(len(list), maxCollectors)]
}

// CollectorRank returns the number of registered routers that precede this one as collectors of the
// crash reports of a request.
func (f *Fleet) CollectorRank(p poison.Fingerprint) (rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := collectorHash(f.self, p)
	for name := range f.byName {
		if collectorHash(name, p) < own {
			rank++
		}
	}
	return rank
}
