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

// CrashReport is word of a request under which an endpoint crashed, or that was answered whole.
type CrashReport struct {
	Fingerprint poison.Fingerprint
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// AgeMs is how long the request had been there, in milliseconds.
	AgeMs uint32
	// Completed says that the request was answered, which clears it.
	Completed bool
}

const (
	// maxCollectors is how many routers hear which endpoints crashed under one request: the
	// same ones from all routers, so that they know all of it. With eight, one hears it
	// though a tenth of the datagrams are lost and a zone's routers are gone.
	maxCollectors = 8
	// resendFanout is how many routers, drawn anew each time, verdicts are told again to: with
	// each router doing so once a second all know after two or three.
	resendFanout = 3
	// maxVerdictsPerDatagram is how many verdicts one datagram takes, and crashesTold how many crashes
	// of each.
	maxVerdictsPerDatagram = 6
	maxCrashesPerVerdict   = poison.MaxReportedCrashes
)

// MaxResentVerdicts is how many verdicts are worth telling again at a time.
const MaxResentVerdicts = 3 * maxVerdictsPerDatagram

// verdictHead begins an encoded verdict; its crashes follow.
type verdictHead struct {
	Fingerprint poison.Fingerprint
	Round       uint32
	// RemainingMs is how much longer it holds, in milliseconds.
	RemainingMs uint32
	Crashes     uint8
}

// verdictCrash is a crash as it is told.
type verdictCrash struct {
	Endpoint uint64
	// AgeMs is how long ago it was, in milliseconds.
	AgeMs uint32
}

// encodeVerdicts appends verdicts as they are told at now.
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
				return dst, errors.Wrap(err, "peers")
			}
		}
	}
	return dst, nil
}

// millisOf returns a time in whole milliseconds; 0 for one that has passed.
func millisOf(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

// decodeVerdicts decodes what encodeVerdicts encoded, word of which came at now.
func decodeVerdicts(b []byte, now time.Time) ([]poison.Verdict, error) {
	var list []poison.Verdict
	for in := bytes.NewReader(b); in.Len() > 0; {
		var h verdictHead
		if err := binary.Read(in, binary.BigEndian, &h); err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		v := poison.Verdict{Fingerprint: h.Fingerprint, Round: int(h.Round), Until: now.Add(time.Duration(h.RemainingMs) * time.Millisecond)}
		crashes := make([]verdictCrash, h.Crashes)
		if err := binary.Read(in, binary.BigEndian, crashes); err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		for _, e := range crashes {
			v.Crashes = append(v.Crashes, poison.Crash{Endpoint: e.Endpoint, At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond)})
		}
		list = append(list, v)
	}
	return list, nil
}

// SendCrashReport tells the routers that keep which endpoints crashed under the request.
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

// SendVerdicts tells all other routers of verdicts that are new or changed.
func (t *Transport) SendVerdicts(list []poison.Verdict) { t.sendVerdicts(list, t.fleet.others()) }

// ResendVerdicts tells a few other routers of verdicts that they may have missed.
func (t *Transport) ResendVerdicts(list []poison.Verdict) {
	t.sendVerdicts(list, sample(t.fleet.others(), resendFanout))
}

// stateQueryFanout is how many routers one that has just started asks for what they know of requests that crash
// endpoints: in a fleet of nine each knows all of it, and an answer takes up to 30 KB after a wave of
// crashes.
const stateQueryFanout = 4

// QueryState asks some routers for what a router that starts should know, to be told under its token.
func (t *Transport) QueryState(token string) {
	if len(token) < tokenBytes {
		return
	}
	t.Traffic.Quarantines.Add(t.sendToPeers(sample(t.fleet.others(), stateQueryFanout), append(newDatagram(kindStateQuery, tokenBytes), token[:tokenBytes]...)))
}

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

// others returns all other routers, whatever became of them.
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

// collectorHash returns where a router stands in the order in which routers keep a request's crashes, the
// same at all routers (rendezvous hashing: Thaler and Ravishankar, 1998).
func collectorHash(name string, p poison.Fingerprint) uint64 {
	return mixer.Mix(xxhash.Sum64String(name) ^ binary.BigEndian.Uint64(p[:]))
}

// collectors returns the other routers that keep which endpoints crashed under a request.
func (f *Fleet) collectors(p poison.Fingerprint) []Peer {
	list := f.others()
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(collectorHash(a.Name, p), collectorHash(b.Name, p)) })
	return list[:min(len(list), maxCollectors)]
}

// CollectorRank returns how many routers come before this one for a request.
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
