// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/pkg/poison"
)

func TestVerdictsRoundTrip(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	list := []poison.Verdict{
		{Fingerprint: poison.Fingerprint{1, 2}, Round: 3, Until: now.Add(time.Minute), Crashes: []poison.Crash{{Endpoint: 7, At: now.Add(-time.Second)}, {Endpoint: 8, At: now}}},
		{Fingerprint: poison.Fingerprint{9}, Round: 2, Until: now.Add(time.Second)},
	}
	b, err := encodeVerdicts(nil, list, now, false)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeVerdicts(b, now, false)
	if err != nil || !reflect.DeepEqual(got, list) {
		t.Errorf("got %v, %v, want %v", got, err, list)
	}
	for n := 1; n < len(b); n++ {
		// Data cut between two verdicts decodes to the first one.
		if cut, err := decodeVerdicts(b[:n], now, false); err == nil && len(cut) != 1 {
			t.Errorf("cut after %d bytes: got %v, want an error", n, cut)
		}
	}
}

// TestVerdictsFitTheDatagram checks that the longest encoding of verdicts fits into one datagram.
func TestVerdictsFitTheDatagram(t *testing.T) {
	v := poison.Verdict{Round: 1, Crashes: make([]poison.Crash, 2*maxCrashesPerVerdict)}
	list := make([]poison.Verdict, maxVerdictsPerDatagram)
	for i := range list {
		list[i] = v
	}
	b, err := encodeVerdicts(make([]byte, bodyAt), list, time.Now(), false)
	if err != nil || len(b) > maxDatagramBytes {
		t.Errorf("got %d bytes, %v, want %d at most", len(b), err, maxDatagramBytes)
	}
	s, err := binary.Append(nil, binary.BigEndian, CrashReport{})
	if err != nil || len(s) != crashReportBytes {
		t.Errorf("CrashReport: got %d bytes, %v, want %d", len(s), err, crashReportBytes)
	}
}

// twoTransports returns the transports of two routers whose fleets are empty, and the registrations
// of these routers.
func twoTransports(t *testing.T) (list [2]*Transport, all [2]Peer) {
	for i := range list {
		all[i] = Peer{Name: fmt.Sprint(i), Token: fmt.Sprintf("%016d-and-more", i)}
		n, err := NewTransport(zap.NewNop(), NewFleet(all[i].Name), netip.MustParseAddrPort("127.0.0.1:0"), secretOf(all[i].Token), func(AttemptReport) {})
		if err != nil {
			t.Fatal(err)
		}
		all[i].Addr = n.conn.LocalAddr().(*net.UDPAddr).AddrPort()
		list[i] = n
	}
	return list, all
}

// runTransports runs the transports until end is called, and checks that they end without an error.
func runTransports(t *testing.T, list [2]*Transport) (end func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, len(list))
	for _, n := range list {
		go func() { ended <- n.Run(ctx) }()
	}
	return func() {
		cancel()
		for range list {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}
}

// TestStateQueryIsAnswered checks that a router that has just started receives the verdicts of
// those that it queries, and that it drops an answer under another token than its own.
func TestStateQueryIsAnswered(t *testing.T) {
	want := poison.Verdict{Fingerprint: poison.Fingerprint{7}, Crashes: []poison.Crash{{Endpoint: 9}}}
	received := make(chan poison.Verdict, 1)
	list, all := twoTransports(t)
	starting, other := list[0], list[1]
	other.Verdicts = func() []poison.Verdict { return []poison.Verdict{want} }
	starting.OnVerdicts = func(list []poison.Verdict) { received <- list[0] }
	starting.fleet.Put(all[1])
	end := runTransports(t, list)
	starting.QueryState(strings.Repeat("?", tokenBytes))
	starting.QueryState(all[0].Token)
	select {
	case got := <-received:
		if got.Fingerprint != want.Fingerprint || len(got.Crashes) != 1 || got.Crashes[0].Endpoint != 9 {
			t.Errorf("answer to the state query: got %+v, want %+v", got, want)
		}
	case <-time.After(waitTimeout):
		t.Error("answer to the state query: none received")
	}
	end()
	if len(received) > 0 {
		t.Error("received a second answer: the one under a wrong token was not dropped")
	}
}

// partOf returns a part whose text form is as long as possible.
func partOf(id string) poison.Part {
	return poison.Part{ID: id, Service: strings.Repeat("s", 120), Caller: strings.Repeat("w", 255-120-len(id)-2)}
}

// Verdicts on parts are decoded as they were encoded, and the longest ones fit into one datagram.
func TestPartVerdictsRoundTrip(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var list []poison.Verdict
	for i := range maxPartVerdictsPerDatagram {
		v := poison.Verdict{Part: partOf(fmt.Sprint("part-", i)), Round: 1, Until: now.Add(time.Minute)}
		v.Fingerprint = v.Part.Subject().Fingerprint
		for e := range maxCrashesPerVerdict {
			v.Crashes = append(v.Crashes, poison.Crash{Endpoint: uint64(e), At: now.Add(-time.Second)})
		}
		list = append(list, v)
	}
	b, err := encodeVerdicts(make([]byte, bodyAt), list, now, true)
	if err != nil || len(b) > maxDatagramBytes {
		t.Fatalf("got %d bytes, %v, want %d at most", len(b), err, maxDatagramBytes)
	}
	got, err := decodeVerdicts(b[bodyAt:], now, true)
	if err != nil || !reflect.DeepEqual(got, list) {
		t.Errorf("got %v, %v, want %v", got, err, list)
	}
}

// Of a verdict with more crashes than a datagram has room for, the latest are sent: they tell parts apart.
func TestLatestCrashesAreSent(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	v := poison.Verdict{Fingerprint: poison.Fingerprint{1}, Round: 1, Until: now.Add(time.Minute)}
	for e := range 2 * maxCrashesPerVerdict {
		v.Crashes = append(v.Crashes, poison.Crash{Endpoint: uint64(e), At: now})
	}
	b, err := encodeVerdicts(nil, []poison.Verdict{v}, now, false)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeVerdicts(b, now, false)
	if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0].Crashes, v.Crashes[maxCrashesPerVerdict:]) {
		t.Errorf("got %v, %v, want the last %d crashes", got, err, maxCrashesPerVerdict)
	}
}

// Reports on more parts than a datagram has room for arrive, each once, and verdicts on parts among verdicts on
// requests.
func TestPartReportsArrive(t *testing.T) {
	list, all := twoTransports(t)
	list[0].fleet.Put(all[1])
	reports, verdicts := make(chan []poison.PartReport, 100), make(chan []poison.Verdict, 10)
	list[1].OnPartReports = func(r []poison.PartReport) { reports <- r }
	list[1].OnVerdicts = func(v []poison.Verdict) { verdicts <- v }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- list[1].Run(ctx) }()
	const n = 60
	var sent []poison.PartReport
	for i := range n {
		sent = append(sent, poison.PartReport{Part: poison.Part{ID: fmt.Sprint("part-", i), Service: "s", AnyCaller: true}, Endpoint: uint64(i), Age: time.Second, Holder: 7, Survival: 0.5, SoundAge: time.Minute})
	}
	list[0].SendPartReports(sent)
	part := sent[0].Part.Subject()
	list[0].SendVerdicts([]poison.Verdict{{Fingerprint: poison.Fingerprint{1}, Round: 1, Until: time.Now().Add(time.Minute)}, {Fingerprint: part.Fingerprint, Part: part.Part, Round: 1, Until: time.Now().Add(time.Minute)}})
	var got []poison.PartReport
	for len(got) < n {
		select {
		case r := <-reports:
			got = append(got, r...)
		case <-time.After(waitTimeout):
			t.Fatalf("got %d reports, want %d", len(got), n)
		}
	}
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("got %v, want %v", got, sent)
	}
	for _, want := range []poison.Part{{}, part.Part} {
		if v := <-verdicts; len(v) != 1 || v[0].Part != want {
			t.Errorf("got %v, want one verdict on %+v", v, want)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("transport: %v", err)
	}
}

func FuzzDecodePartReports(f *testing.F) {
	f.Add([]byte{})
	f.Add(make([]byte, 26))
	f.Add(append(make([]byte, 21), 5, 'a', 0, 's', 0, 'w'))
	f.Fuzz(func(_ *testing.T, b []byte) {
		list, _ := decodePartReports(b)
		// Whatever was decoded, a detector accepts it.
		detector := poison.NewDetector()
		for i := range list {
			detector.RecordPart(time.Now(), &list[i], false)
		}
	})
}

func FuzzDecodeVerdicts(f *testing.F) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	b, err := encodeVerdicts(nil, []poison.Verdict{{Fingerprint: poison.Fingerprint{1}, Round: 1, Until: now.Add(time.Minute), Crashes: []poison.Crash{{Endpoint: 7, At: now}}}}, now, false)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Add(b[:len(b)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		list, _ := decodeVerdicts(b, now, false)
		// Whatever was decoded, a detector accepts it.
		detector := poison.NewDetector()
		for _, v := range list {
			detector.Merge(now, v)
		}
		again, err := encodeVerdicts(nil, list, now, false)
		if err != nil || len(list) > 0 && len(again) == 0 {
			t.Errorf("encoded again: %d bytes, %v", len(again), err)
		}
	})
}

// TestCollectorsAgree checks that all routers select the same collectors for a request's crash
// reports, and that the collectors differ between requests.
func TestCollectorsAgree(t *testing.T) {
	const routers = 40
	fleets := make([]*Fleet, routers)
	for i := range fleets {
		fleets[i] = NewFleet(fmt.Sprint("vm-", i))
		for j := range routers {
			fleets[i].Put(Peer{Name: fmt.Sprint("vm-", j), Addr: netip.MustParseAddrPort("127.0.0.1:1")})
		}
	}
	collected := make(map[string]int)
	for n := range byte(100) {
		p := poison.Fingerprint{n, n}
		ranks := make(map[int]bool)
		for i, f := range fleets {
			rank := f.CollectorRank(p)
			ranks[rank] = true
			if rank < maxCollectors {
				collected[fmt.Sprint("vm-", i)]++
			}
			for _, k := range f.collectors(p) {
				var j int
				if _, err := fmt.Sscanf(k.Name, "vm-%d", &j); err != nil {
					t.Fatal(err)
				}
				// A sender leaves itself out, so that its list has one collector more.
				if got := fleets[j].CollectorRank(p); got > maxCollectors {
					t.Errorf("request %d: %s receives its crash reports and has rank %d", n, k.Name, got)
				}
			}
		}
		if len(ranks) != routers {
			t.Errorf("request %d: %d different ranks, want %d", n, len(ranks), routers)
		}
	}
	if len(collected) != routers {
		t.Errorf("routers that collect the crash reports of some request: got %d, want %d", len(collected), routers)
	}
}

// TestLongDatagramIsDropped sends a datagram that is longer than any router sends. It must not be
// taken as one that ends where the receiver's buffer does.
func TestLongDatagramIsDropped(t *testing.T) {
	list, all := twoTransports(t)
	received := make(chan AttemptReport, 2)
	list[1].OnAttemptReport = func(r AttemptReport) { received <- r }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- list[1].Run(ctx) }()
	buf := make([]byte, maxDatagramBytes+1)
	buf[kindAt] = kindAttemptReport
	buf[bodyAt] = 1
	list[0].sendToPeer(all[1], buf)
	buf[bodyAt] = 2
	list[0].sendToPeer(all[1], buf[:maxDatagramBytes])
	select {
	case got := <-received:
		if want := uint64(2) << 56; got.Endpoint != want {
			t.Errorf("got the report of endpoint %x, want %x", got.Endpoint, want)
		}
	case <-time.After(waitTimeout):
		t.Error("the datagram of the greatest length was not received")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("transport: %v", err)
	}
}

// TestUnencodableDatagramIsNotSent encodes a body that has no fixed length. Nothing may be sent in its
// place. Guards against a panic of the sender.
func TestUnencodableDatagramIsNotSent(t *testing.T) {
	list, all := twoTransports(t)
	buf := list[0].encodeFixed(kindNotice, struct{ Name string }{"no fixed length"}, noticeBytes)
	if got := list[0].sendToPeer(all[1], buf); buf != nil || got != 0 {
		t.Errorf("got %d bytes encoded and %d sent, want none", len(buf), got)
	}
}

// Guards against reports and verdicts that are lost with a bad one in the same datagram, when they are sent and when they
// are received.
func TestBadPartCostsItsElement(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	verdict := func(i byte, part poison.Part) poison.Verdict {
		return poison.Verdict{Fingerprint: poison.Fingerprint{i}, Round: 1, Until: now.Add(time.Minute), Part: part}
	}
	good, long := poison.Part{ID: "a", Service: "s"}, poison.Part{ID: strings.Repeat("a", 300), Service: "s"}
	text, err := encodeVerdicts(nil, []poison.Verdict{verdict(1, good), verdict(2, long), verdict(3, good)}, now, true)
	list, decodeErr := decodeVerdicts(text, now, true)
	if err == nil || decodeErr != nil || len(list) != 2 || list[1].Fingerprint != (poison.Fingerprint{3}) {
		t.Errorf("part that is too long: got %d verdicts, %v and %v, want the other two and an error", len(list), err, decodeErr)
	}
	text, err = encodeVerdicts(nil, []poison.Verdict{verdict(1, good), verdict(2, poison.Part{ID: "b", Service: "s"}), verdict(3, good)}, now, true)
	if err != nil {
		t.Fatal(err)
	}
	bad := bytes.Replace(text, []byte("b\x00s"), []byte("bxs"), 1)
	if list, err = decodeVerdicts(bad, now, true); err == nil || len(list) != 2 || list[1].Fingerprint != (poison.Fingerprint{3}) {
		t.Errorf("part that can't be decoded: got %d verdicts, %v, want the other two and an error", len(list), err)
	}
	if list, err = decodeVerdicts(text[:len(text)-1], now, true); err == nil || len(list) != 2 {
		t.Errorf("datagram that ends early: got %d verdicts, %v, want the two before and an error", len(list), err)
	}
}
