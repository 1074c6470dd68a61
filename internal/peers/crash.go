// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"cmp"
	"encoding/binary"
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
	// resendFanout is the number of routers, drawn anew each time, to which verdicts are sent
	// again. With each router doing so once a second, all have them after two or three seconds.
	resendFanout = 3
	// maxVerdictsPerDatagram is the maximum number of verdicts in one datagram, and
	// maxCrashesPerVerdict that of crashes in each verdict.
	maxVerdictsPerDatagram = 6
	maxCrashesPerVerdict   = poison.MaxReportedCrashes
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

// verdictCrash is the encoding of a crash.
type verdictCrash struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// AgeMs is the time since the crash was observed, in milliseconds.
	AgeMs uint32
}

// encodeVerdicts appends the encoding of verdicts to dst. Times are encoded relative to now. Of
// each verdict it encodes at most maxCrashesPerVerdict crashes.
func encodeVerdicts(dst []byte, list []poison.Verdict, now time.Time) ([]byte, error) {
	for _, v := range list {
		crashes := v.Crashes[:min(len(v.Crashes), maxCrashesPerVerdict)]
		parts := []any{verdictHead{v.Fingerprint, uint32(v.Round), millisOf(v.Until.Sub(now)), uint8(len(crashes))}}
		for _, e := range crashes {
			parts = append(parts, verdictCrash{e.Endpoint, millisOf(now.Sub(e.At))})
		}
		for _, part := range parts {
			var err error
			if dst, err = binary.Append(dst, binary.BigEndian, part); err != nil {
				return dst, errors.Wrap(err, "peers: encode verdict")
			}
		}
	}
	return dst, nil
}

// millisOf returns d in whole milliseconds, limited to the range of uint32; 0 if d is negative.
func millisOf(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

// decodeVerdicts decodes what encodeVerdicts encoded and this router received at now.
func decodeVerdicts(b []byte, now time.Time) ([]poison.Verdict, error) {
	var list []poison.Verdict
	for in := bytes.NewReader(b); in.Len() > 0; {
		var h verdictHead
		if err := binary.Read(in, binary.BigEndian, &h); err != nil {
			return nil, errors.Wrap(err, "peers: decode head of verdict")
		}
		v := poison.Verdict{Fingerprint: h.Fingerprint, Round: int(h.Round), Until: now.Add(time.Duration(h.RemainingMs) * time.Millisecond)}
		crashes := make([]verdictCrash, h.Crashes)
		if err := binary.Read(in, binary.BigEndian, crashes); err != nil {
			return nil, errors.Wrap(err, "peers: decode crashes of verdict")
		}
		for _, e := range crashes {
			v.Crashes = append(v.Crashes, poison.Crash{Endpoint: e.Endpoint, At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond)})
		}
		list = append(list, v)
	}
	return list, nil
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

// SendVerdicts sends verdicts that are new or changed to all other routers, also those backed off
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

// sendVerdicts sends verdicts to the routers in to, at most maxVerdictsPerDatagram in a datagram.
func (t *Transport) sendVerdicts(list []poison.Verdict, to []Peer) {
	for part := range slices.Chunk(list, maxVerdictsPerDatagram) {
		buf, err := encodeVerdicts(newDatagram(kindVerdicts, maxDatagramBytes-bodyAt), part, time.Now())
		if err != nil {
			t.Log.Error("peers: Verdicts could not be encoded.", logs.Err(err))
			return
		}
		t.Traffic.Quarantines.Add(t.sendToPeers(to, buf))
	}
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
