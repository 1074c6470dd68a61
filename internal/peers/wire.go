// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/elems"
	"github.com/traildrift/traildrift/internal/mirror"
	"github.com/traildrift/traildrift/pkg/epoch"
)

// Peer is the stored registration of a router, which writes it itself.
type Peer struct {
	// Name is the name of the router's VM.
	Name string `json:"name"`
	// Addr is the address at which the router answers pulls, over TCP, and receives datagrams, over
	// UDP.
	Addr netip.AddrPort `json:"addr"`
	// Zone is the router's availability zone; empty in registrations of earlier releases.
	Zone string `json:"zone,omitempty"`
	// Millicores is the CPU capacity that the VM has for the router, in thousandths of a core; 0 if
	// it is not known.
	Millicores int `json:"ability,omitempty"`
	// Token is the secret that peers present to the router. A router that restarts on its VM keeps
	// the registered one.
	Token string `json:"token"`
	// Revision is the store's revision of the registration.
	Revision epoch.Revision `json:"-"`
}

// MatchesRegistration reports whether p may continue with the registration old of an earlier
// process on its VM: all but the token and the revision are equal, and old has a token of
// sufficient length.
func (p Peer) MatchesRegistration(old Peer) bool {
	return old.Name == p.Name && old.Addr == p.Addr && old.Zone == p.Zone && old.Millicores == p.Millicores && len(old.Token) >= tokenBytes
}

// pullPath is the URL path of pull requests.
const pullPath = "/changes"

// pullRequest is the body of a pull request.
type pullRequest struct {
	// Have holds the kinds to pull, and the number of the revision up to which the sender has the
	// changes of each; -1 for none. Epochs holds the epochs of these revisions; nil in requests of
	// earlier releases, which know no epochs.
	Have   map[string]int64 `json:"have"`
	Epochs map[string]int64 `json:"epochs"`
	// WaitMs is how long the recipient may hold the request while it has no changes, in
	// milliseconds.
	WaitMs int64 `json:"waitMs"`
	// AwaitFresh is set by a sender that knows of no fresh peer: a recipient with a stale copy
	// answers once its copy is fresh.
	AwaitFresh bool `json:"proof,omitempty"`
	// FromRelay is set by a relay: the recipient also answers when its copy was proven anew.
	FromRelay bool `json:"follows,omitempty"`
	// AcceptsCompressed is set if the sender can decompress whole lists.
	AcceptsCompressed bool `json:"packs,omitempty"`
}

// revisions returns the revisions up to which the sender has the changes of each kind. A sender that knows no
// epochs is taken to be in the epoch that m has, as it can't be told that the store came back.
func (q *pullRequest) revisions(m *mirror.Mirror) map[string]epoch.Revision {
	have := make(map[string]epoch.Revision, len(q.Have))
	for kind, number := range q.Have {
		e := q.Epochs[kind]
		if q.Epochs == nil && m.HasKind(kind) {
			e = m.Revision(kind).Epoch()
		}
		have[kind] = epoch.At(min(max(e, 0), epoch.MaxEpoch), number)
	}
	return have
}

// hasNothing reports whether the sender has no objects of any kind.
func (q *pullRequest) hasNothing() bool {
	for _, number := range q.Have {
		if number >= 0 {
			return false
		}
	}
	return true
}

// pullResponse is the response to a pullRequest.
type pullResponse struct {
	// Kinds holds the changes of the kinds in pullRequest.Have; a kind that the responding router
	// has not read is left out.
	Kinds map[string]kindChanges `json:"kinds"`
	// HeldMs is how long the request was held, in milliseconds, rounded down.
	HeldMs int64 `json:"heldMs"`
	// Availability is the last period through which the store is known to have answered; nil if it has not answered yet,
	// and in responses of earlier releases.
	Availability *wirePeriod `json:"availability,omitempty"`
	// Verdicts are the encoded verdicts of the responding router, which the store may lack, for a
	// peer that starts; see encodeVerdicts.
	Verdicts []byte `json:"verdicts,omitempty"`
	// PartVerdicts are those on parts of prompts, which routers of earlier releases ignore.
	PartVerdicts []byte `json:"partVerdicts,omitempty"`
}

// wirePeriod is the encoding of a mirror.Period.
type wirePeriod struct {
	// FromMs and ToMs are the times from the ends of the period to the response, in milliseconds; FromMs is rounded
	// down and ToMs up.
	FromMs int64 `json:"fromMs"`
	ToMs   int64 `json:"toMs"`
}

// encodePeriod encodes a period for a response at now; nil for none, and for one that is too short for its ends to be
// told apart. age returns the age of a time.
func encodePeriod(p mirror.Period, now time.Time, age func(at, now time.Time) time.Duration) *wirePeriod {
	if p.To.IsZero() {
		return nil
	}
	w := &wirePeriod{FromMs: now.Sub(p.From).Milliseconds(), ToMs: ceilMs(age(p.To, now))}
	if w.FromMs < w.ToMs {
		return nil
	}
	return w
}

// decode returns the period. The response was made between answered and now.
func (w *wirePeriod) decode(answered, now time.Time) mirror.Period {
	p := mirror.Period{From: now.Add(-time.Duration(w.FromMs) * time.Millisecond), To: answered.Add(-time.Duration(w.ToMs) * time.Millisecond)}
	if p.From.After(p.To) {
		p.From = p.To
	}
	return p
}

// kindChanges holds the changes of one kind up to a revision.
type kindChanges struct {
	// Number is the number of the revision, and Epoch its epoch; 0 in responses of earlier releases.
	// The revisions of the changes are sent as numbers in the same epoch.
	Number int64 `json:"revision"`
	Epoch  int64 `json:"epoch,omitempty"`
	// AgeMs is the time from the moment at which the copy was proven to be the newest to the
	// response, in milliseconds, rounded up.
	AgeMs int64 `json:"ageMs"`
	// Whole is set if Changes holds all objects of the kind, so that others are removed.
	Whole   bool         `json:"whole,omitempty"`
	Changes []wireChange `json:"changes,omitempty"`
	// Bytes is the length of compressed, which follows the JSON of the response and replaces
	// Changes for a long whole list; see compressionCache.list.
	Bytes      int `json:"bytes,omitempty"`
	compressed []byte
	// bad holds the changes that could not be decoded.
	bad []elems.Bad
}

// wireChange is the encoding of a mirror.Change.
type wireChange struct {
	mirror.Object
	// Compressed is the compressed Spec if that is long; Spec is then empty.
	Compressed []byte `json:"packed,omitempty"`
	// Gone is set if the object was removed.
	Gone bool `json:"gone,omitempty"`
	// LapseMs is how long a removed object may still be used, in milliseconds.
	LapseMs int64 `json:"lapseMs,omitempty"`
}

// encode writes the response: a line of JSON, then the compressed lists in the order of the names
// of their kinds.
func (a *pullResponse) encode(w io.Writer) error {
	text, err := json.Marshal(a)
	if err != nil {
		a.replaceUnreadable()
		text, err = json.Marshal(a)
	}
	if err != nil {
		return errors.Wrap(err, "peers: encode pull response")
	}
	if _, err := w.Write(append(text, '\n')); err != nil {
		return errors.Wrap(err, "peers: write pull response")
	}
	for _, kind := range slices.Sorted(maps.Keys(a.Kinds)) {
		if _, err := w.Write(a.Kinds[kind].compressed); err != nil {
			return errors.Wrap(err, "peers: write compressed list")
		}
	}
	return nil
}

// replaceUnreadable replaces the objects that can't be encoded. Their names stay, as an object that is not in a whole list
// counts as removed.
func (a *pullResponse) replaceUnreadable() {
	for _, k := range a.Kinds {
		for i := range k.Changes {
			if _, err := json.Marshal(k.Changes[i]); err != nil {
				k.Changes[i].Spec, k.Changes[i].Status = elems.Unreadable(err), nil
			}
		}
	}
}

// readKinds is a pullResponse in which one bad change costs that change alone.
type readKinds struct {
	pullResponse
	Kinds map[string]*readChanges `json:"kinds"`
}

type readChanges struct {
	kindChanges
	Changes elems.List[wireChange] `json:"changes"`
}

// decodeResponse reads a response that pullResponse.encode wrote.
func decodeResponse(r io.Reader) (*pullResponse, error) {
	in := bufio.NewReader(r)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return nil, errors.Wrap(err, "peers: read pull response")
	}
	var read readKinds
	if err := elems.Unmarshal(line, &read); err != nil {
		return nil, errors.Wrap(err, "peers: decode pull response")
	}
	a := read.pullResponse
	a.Kinds = make(map[string]kindChanges, len(read.Kinds))
	for kind, k := range read.Kinds {
		if k != nil {
			k.kindChanges.Changes, k.bad = k.Changes.Items, k.Changes.Bad
			a.Kinds[kind] = k.kindChanges
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(a.Kinds)) {
		k := a.Kinds[kind]
		if k.Bytes < 0 || k.Bytes > maxResponseBytes {
			return nil, errors.Newf("peers: pull response states an invalid length of a compressed list, %d bytes", k.Bytes)
		}
		k.compressed = make([]byte, k.Bytes)
		if _, err := io.ReadFull(in, k.compressed); err != nil {
			return nil, errors.Wrap(err, "peers: read compressed list")
		}
		a.Kinds[kind] = k
	}
	return &a, nil
}

// encodeDelta encodes a delta of a kind to be sent at now. age is the age of its proof; compress
// lets a whole list of at least minCompressedList objects be compressed.
func encodeDelta(kind string, d mirror.Delta, age time.Duration, now time.Time, p *compressionCache, compress bool) kindChanges {
	a := kindChanges{Number: d.Revision.Number(), Epoch: d.Revision.Epoch(), AgeMs: ceilMs(age), Whole: d.Full}
	if compress && d.Full && len(d.Changes) >= minCompressedList {
		if a.compressed = p.list(kind, d); a.compressed != nil {
			a.Bytes = len(a.compressed)
			return a
		}
	}
	for _, c := range d.Changes {
		w := wireChange{Object: numbered(c.Object), Gone: c.Removed, LapseMs: max(c.LapsesAt.Sub(now).Milliseconds(), 0)}
		if w.Compressed = p.spec(kind, &c.Object); w.Compressed != nil {
			w.Spec = nil
		}
		a.Changes = append(a.Changes, w)
	}
	return a
}

// numbered returns an object with the number of its revision alone.
func numbered(o mirror.Object) mirror.Object {
	o.Revision = epoch.At(0, o.Revision.Number())
	return o
}

// revision returns the revision up to which the changes are complete.
func (a *kindChanges) revision() epoch.Revision { return epoch.At(a.Epoch, a.Number) }

// decode returns the changes, which were received at now, and those that could not be decoded.
func (a *kindChanges) decode(now time.Time) (list []mirror.Change, bad []elems.Bad, err error) {
	if a.Epoch < 0 || a.Epoch > epoch.MaxEpoch {
		return nil, nil, errors.Newf("peers: pull response names the invalid epoch %d", a.Epoch)
	}
	if a.Bytes > 0 {
		list, bad, err = decompressList(a.compressed)
	} else {
		list, bad = a.decodeChanges(now), a.bad
	}
	list, bad = appendNamed(list, bad, a.Number)
	for i := range list {
		list[i].Revision = epoch.At(a.Epoch, min(list[i].Revision.Number(), a.Number))
	}
	return list, bad, err
}

// appendNamed appends an unreadable object for each bad change that has a name, so that a whole list does not remove it. It
// returns the changes without a name.
func appendNamed(list []mirror.Change, bad []elems.Bad, number int64) (all []mirror.Change, unnamed []elems.Bad) {
	for _, b := range bad {
		var named struct {
			Name string `json:"name"`
			Gone bool   `json:"gone"`
		}
		if elems.Object(b.Text, &named) != nil || named.Name == "" {
			unnamed = append(unnamed, b)
			continue
		}
		list = append(list, mirror.Change{Object: mirror.Object{Name: named.Name, Revision: epoch.At(0, number), Spec: elems.Unreadable(b.Err)}, Removed: named.Gone})
	}
	return list, unnamed
}

// decodeChanges returns the changes that are not compressed as a list.
func (a *kindChanges) decodeChanges(now time.Time) []mirror.Change {
	list := make([]mirror.Change, 0, len(a.Changes))
	for _, c := range a.Changes {
		ch := mirror.Change{Object: c.Object, Removed: c.Gone}
		if len(c.Compressed) > 0 {
			ch.Spec = decompressSpec(c.Compressed)
		}
		if c.LapseMs > 0 {
			ch.LapsesAt = now.Add(time.Duration(c.LapseMs) * time.Millisecond)
		}
		list = append(list, ch)
	}
	return list
}

// ceilMs returns d in milliseconds, rounded up.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
