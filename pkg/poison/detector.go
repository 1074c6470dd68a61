// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"maps"
	"slices"
	"time"
)

// Detector holds the suspects and verdicts that one process knows, with the crashes behind them.
// Create it with NewDetector. It is not safe for concurrent use.
type Detector struct {
	// MayJudge reports whether this process receives the reports of all processes on a part, so that
	// it may judge the part; nil if it receives them on all parts.
	MayJudge func(t *Part) bool
	// OnJudged is called by Judge when a suspect is to be quarantined or becomes held: it would be
	// quarantined, but other suspects were at its crashes. Set it before the first crash; it may be
	// nil.
	OnJudged func(j Judgement)
	// requests and parts hold the suspects of each kind.
	requests, parts map[Fingerprint]*suspect
	// sound holds the parts of requests that were answered whole. unconfirmed counts the answers of
	// this process that may have broken off, but for those after which the endpoint was found to have
	// crashed. answeredAt holds for each service when the latest whole answer that this process
	// received began.
	sound       soundLog
	unconfirmed answerCounts
	answeredAt  map[string]time.Time
	records     map[Fingerprint]*record
	// causes indexes the records by endpoint: for the hash of an endpoint it holds the subjects
	// whose verdicts list a crash of it.
	causes map[uint64][]Fingerprint
	// recent holds the crashes that were observed or reported, under whatever requests, in the
	// order of arrival; at most maxRecentCrashes.
	recent []recentCrash
	// pending holds for each suspect to be judged the time from which it is due. Later crashes do
	// not postpone it.
	pending map[Fingerprint]time.Time
}

// record is a verdict with this process's own state of it.
type record struct {
	Verdict
	// changedAt is when the verdict was received or changed here. triedAt is when a request was last
	// let through in spite of it.
	changedAt, triedAt time.Time
	// storedRound is the round of the verdict that the store holds; 0 if it holds none.
	storedRound int
}

const (
	// suspectTTL is how long a suspect is stored after its latest crash.
	suspectTTL = 10 * time.Minute
	// maxSuspects, for each kind, and maxRecords bound the memory; the oldest entry is evicted. Full,
	// the suspects of a kind take 0.9 MB with two crashes each, and the records 0.5 MB with three
	// crashes each and 5.5 MB with maxCrashesPerSubject.
	maxSuspects = 4096
	maxRecords  = 1024
	// maxRecentCrashes bounds the recent crashes. They are stored for suspectTTL, as long as
	// suspects: the older crashes of a suspect would otherwise seem to have come alone.
	maxRecentCrashes = 256
	// retryInterval is the interval at which one process lets a request through after Until. If
	// the request crashes its endpoint, all processes know of that within a shorter time.
	retryInterval = 5 * time.Second
	// twinRetryInterval is the interval at which one process lets requests through that lack a part
	// to which the same crashes are attributed. An answer takes about as long.
	twinRetryInterval = time.Second
	// retryRankDelay is the additional delay per rank before a process lets a request through.
	retryRankDelay = 2 * time.Second
	// gossipWindow is how long a changed verdict is sent to other processes repeatedly.
	gossipWindow = 10 * time.Second
)

// NewDetector returns a Detector that knows of no subjects.
func NewDetector() *Detector {
	return &Detector{requests: make(map[Fingerprint]*suspect), parts: make(map[Fingerprint]*suspect), answeredAt: make(map[string]time.Time), records: make(map[Fingerprint]*record), causes: make(map[uint64][]Fingerprint), pending: make(map[Fingerprint]time.Time)}
}

// Empty reports whether there are neither suspects nor verdicts.
func (d *Detector) Empty() bool {
	return len(d.requests) == 0 && len(d.parts) == 0 && len(d.records) == 0
}

// Counts are the numbers of subjects of one kind.
type Counts struct{ Suspects, Quarantined int }

// Counts returns the numbers of suspected and quarantined requests and parts.
func (d *Detector) Counts() (requests, parts Counts) {
	requests.Suspects, parts.Suspects = len(d.requests), len(d.parts)
	for p, r := range d.records {
		switch {
		case !r.InForce():
		case p.IsPart():
			parts.Quarantined++
		default:
			requests.Quarantined++
		}
	}
	return requests, parts
}

// suspectsLike returns the suspects of the same kind as p.
func (d *Detector) suspectsLike(p Fingerprint) map[Fingerprint]*suspect {
	if p.IsPart() {
		return d.parts
	}
	return d.requests
}

// Crashes returns the number of crashes under a suspect; 0 for a request that is not suspected,
// also if it is quarantined.
func (d *Detector) Crashes(p Fingerprint) int {
	if s := d.suspectsLike(p)[p]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// ReachesThreshold reports whether a suspect would be judged if so many more endpoints had crashed
// under it.
func (d *Detector) ReachesThreshold(p Fingerprint, more int) bool {
	n := d.Crashes(p)
	return n > 0 && more > 0 && n+more >= minCrashes
}

// Round returns the round of the verdict on a request; 0 if there is none.
func (d *Detector) Round(p Fingerprint) int {
	if r := d.records[p]; r != nil {
		return r.Round
	}
	return 0
}

// RecordCrash records that an endpoint, given by its hash, crashed under a request that had been
// there for age. own is set if this process observed the crash itself. It returns the verdicts
// that are new or changed immediately; pending reports whether Judge has to be called once
// SettleDelay has passed.
func (d *Detector) RecordCrash(now time.Time, p Fingerprint, endpoint uint64, age time.Duration, own bool) (changed []Verdict, pending bool) {
	return d.record(now, Subject{Fingerprint: p}, evidence{Crash: Crash{endpoint, now}, age: age}, own)
}

// RecordPart records what this or another process observed of a part; own is set if it was this
// one. The results are those of RecordCrash.
func (d *Detector) RecordPart(now time.Time, r *PartReport, own bool) (changed []Verdict, pending bool) {
	changed, pending = d.recordPart(now, r.Part.Subject(), r, r.Holder, own)
	if r.Part.AnyCaller {
		return changed, pending
	}
	more, again := d.recordPart(now, r.Part.OfAnyCaller().Subject(), r, r.Part.callerHash(), own)
	return append(changed, more...), pending || again
}

// recordPart records a report as one on the part t, with the holder that counts for it.
func (d *Detector) recordPart(now time.Time, t Subject, r *PartReport, holder uint64, own bool) (changed []Verdict, pending bool) {
	if r.SoundAge > 0 {
		if v := d.RecordSound(now, t.Fingerprint, now.Add(-r.SoundAge)); v != nil {
			changed = append(changed, *v)
		}
	}
	if r.Endpoint == 0 {
		return changed, false
	}
	e := evidence{Crash: Crash{r.Endpoint, now}, age: r.Age, survival: r.Survival, holders: []uint64{holder}}
	more, pending := d.record(now, t, e, own)
	return append(changed, more...), pending
}

// record records a crash under a subject.
func (d *Detector) record(now time.Time, t Subject, e evidence, own bool) (changed []Verdict, pending bool) {
	d.addRecent(e.Crash, own)
	p := t.Fingerprint
	r := d.records[p]
	if r != nil && r.InForce() && now.Before(r.Until) {
		if !d.addCrashes(now, r, e.Crash) {
			return nil, false
		}
		return append([]Verdict{r.Verdict}, d.overrule(now, r.Crashes)...), false
	}
	// Endpoints crash under a part by chance as often as they do under all requests with it.
	repeated := r != nil && len(r.Crashes) > 0 && (r.InForce() || !p.IsPart())
	if repeated && d.explainedBy(e.Crash, p, 0) == nil {
		return d.quarantine(now, t, []Crash{e.Crash}), false
	}
	return nil, d.addToSuspect(now, t, e)
}

// addToSuspect records a crash under a subject that is not quarantined, and reports whether the
// subject is to be judged.
func (d *Detector) addToSuspect(now time.Time, t Subject, e evidence) (pending bool) {
	p := t.Fingerprint
	s := d.getOrAddSuspect(t)
	if !s.add(e) || len(s.crashes) < limitsOf(p).minCrashes {
		return false
	}
	if _, ok := d.pending[p]; !ok {
		d.pending[p] = now.Add(SettleDelay)
	}
	return true
}

// getOrAddSuspect returns the suspect for a subject. It adds one if there is none, and then evicts
// one of the same kind if there are maxSuspects: one with a single crash if there is any, and of
// these the one whose latest crash is the oldest.
func (d *Detector) getOrAddSuspect(t Subject) *suspect {
	suspects := d.suspectsLike(t.Fingerprint)
	s := suspects[t.Fingerprint]
	if s == nil {
		s = &suspect{part: t.Part}
		if len(suspects) >= maxSuspects {
			delete(suspects, oldest(suspects, func(s *suspect) time.Time {
				if len(s.crashes) > 1 {
					return s.at.Add(suspectTTL)
				}
				return s.at
			}))
		}
		suspects[t.Fingerprint] = s
	}
	return s
}

// JudgeDueAt returns the time from which Judge decides on a request; ok is false if no judgement
// is pending.
func (d *Detector) JudgeDueAt(p Fingerprint) (at time.Time, ok bool) {
	at, ok = d.pending[p]
	return at, ok
}

// addRecent adds a crash to the recent ones, unless it is a duplicate.
func (d *Detector) addRecent(e Crash, own bool) {
	for i := range d.recent {
		if r := &d.recent[i]; r.same(e) {
			r.own = r.own || own
			return
		}
	}
	if len(d.recent) >= maxRecentCrashes {
		d.recent = d.recent[1:]
	}
	d.recent = append(d.recent, recentCrash{e, own})
}

// RecordSuccess records that an endpoint answered a request completely, which proves that the
// request does not crash what runs it. The request is no longer suspected. It returns the verdict
// if this lifts a quarantine, else nil.
func (d *Detector) RecordSuccess(now time.Time, p Fingerprint) *Verdict {
	delete(d.requests, p)
	return d.Lift(now, p)
}

// RecordAnswer records that an endpoint of a service answered completely a request with some parts,
// and that the answer began at a time. It returns the parts that were suspected or quarantined and
// are not any more, and the verdicts that this lifts.
func (d *Detector) RecordAnswer(now, began time.Time, service string, parts []Subject) (cleared []Subject, lifted []Verdict) {
	d.answeredAt[service] = began
	for _, t := range parts {
		_, suspected := d.parts[t.Fingerprint]
		v := d.RecordSound(now, t.Fingerprint, began)
		if v != nil {
			lifted = append(lifted, *v)
		}
		if _, still := d.parts[t.Fingerprint]; v != nil || suspected && !still {
			cleared = append(cleared, t)
		}
	}
	return cleared, lifted
}

// RecordUnconfirmed records that a request with some parts was answered, but that the answer may have
// broken off unnoticed. That clears no part; see isProven.
func (d *Detector) RecordUnconfirmed(now time.Time, parts []Subject) {
	for _, t := range parts {
		d.unconfirmed.add(now, t.Fingerprint, 1)
	}
}

// RetractUnconfirmed takes back a call of RecordUnconfirmed, as the endpoint has crashed.
func (d *Detector) RetractUnconfirmed(now time.Time, parts []Subject) {
	for _, t := range parts {
		d.unconfirmed.add(now, t.Fingerprint, -1)
	}
}

// RecordSound records that a request with a part was answered completely, and that the answer began
// at a time. If that was after the first crash under the part, which crashes whatever begins to
// answer it or nothing, the part is no longer suspected. It returns the verdict if this lifts a
// quarantine, else nil.
func (d *Detector) RecordSound(now time.Time, p Fingerprint, began time.Time) *Verdict {
	d.sound.add(now, p, began)
	if s := d.parts[p]; s != nil && began.After(s.firstAt) {
		delete(d.parts, p)
	}
	if r := d.records[p]; r != nil && r.InForce() && began.After(firstOf(r.Crashes)) {
		return d.Lift(now, p)
	}
	return nil
}

// firstOf returns the time of the earliest crash of a list; zero for none.
func firstOf(crashes []Crash) (first time.Time) {
	for _, e := range crashes {
		if first.IsZero() || e.At.Before(first) {
			first = e.At
		}
	}
	return first
}

// SoundAge returns how long ago the latest whole answer to a request with a part began, as far as
// is known here; 0 for none.
func (d *Detector) SoundAge(now time.Time, p Fingerprint) time.Duration {
	at := d.sound.at(p)
	if at.IsZero() {
		return 0
	}
	return max(now.Sub(at), 1)
}

// Lift ends the quarantine of a request and drops its crashes. It returns the lifted verdict, or
// nil if the request was not quarantined.
func (d *Detector) Lift(now time.Time, p Fingerprint) *Verdict {
	r := d.records[p]
	if r == nil || !r.InForce() {
		return nil
	}
	v := r.nextRound(now)
	v.Crashes = nil
	d.setVerdict(now, v)
	return &v
}

// setVerdict replaces the verdict on a request. To add a record when there are maxRecords, it evicts
// the one with the earliest Until.
func (d *Detector) setVerdict(now time.Time, v Verdict) {
	r := d.records[v.Fingerprint]
	if r == nil {
		if len(d.records) >= maxRecords {
			d.deleteRecord(oldest(d.records, func(r *record) time.Time { return r.Until }))
		}
		r = &record{}
		d.records[v.Fingerprint] = r
	}
	d.unindex(r)
	r.Verdict, r.changedAt = v, now
	d.index(v.Fingerprint, v.Crashes)
}

// addCrashes adds crashes to a record, and reports whether any of them was new. Of a part it keeps the latest ones: as
// long as a process sends requests with the part, the crashes explain those of requests beside them.
func (d *Detector) addCrashes(now time.Time, r *record, crashes ...Crash) (grown bool) {
	for _, e := range crashes {
		if contains(r.Crashes, e) {
			continue
		}
		if len(r.Crashes) >= maxCrashesPerSubject {
			if !r.Fingerprint.IsPart() {
				break
			}
			d.unindex(r)
			r.Crashes = slices.Clone(r.Crashes[1:])
			d.index(r.Fingerprint, r.Crashes)
		}
		r.Crashes = append(slices.Clip(r.Crashes), e)
		d.index(r.Fingerprint, []Crash{e})
		grown = true
	}
	if grown {
		r.changedAt = now
	}
	return grown
}

// index adds the crashes of a verdict to the index by endpoint.
func (d *Detector) index(p Fingerprint, crashes []Crash) {
	for _, e := range crashes {
		d.causes[e.Endpoint] = append(d.causes[e.Endpoint], p)
	}
}

// unindex removes the crashes of a record from the index by endpoint.
func (d *Detector) unindex(r *record) {
	for _, e := range r.Crashes {
		list := slices.DeleteFunc(d.causes[e.Endpoint], func(p Fingerprint) bool { return p == r.Fingerprint })
		if d.causes[e.Endpoint] = list; len(list) == 0 {
			delete(d.causes, e.Endpoint)
		}
	}
}

// deleteRecord deletes the record of a request, which must exist.
func (d *Detector) deleteRecord(p Fingerprint) {
	d.unindex(d.records[p])
	delete(d.records, p)
}

// Merge merges a verdict that was received from another process or read from the store, and
// reports whether that changed the verdict held here. Until is limited to how long a verdict of
// its round may last from now. A verdict of round 0 is a suspicion: its crashes are added, and
// Merge returns false.
func (d *Detector) Merge(now time.Time, v Verdict) bool {
	if v.Round <= 0 {
		d.mergeSuspicion(v)
		return false
	}
	if latest := now.Add(v.duration()); v.Until.After(latest) {
		v.Until = latest
	}
	r := d.records[v.Fingerprint]
	switch {
	case now.After(v.expiresAt()) || r != nil && v.Round < r.Round:
		return false
	case r == nil || v.Round > r.Round:
		v.Crashes, _ = mergeCrashes(nil, v.Crashes...)
		delete(d.suspectsLike(v.Fingerprint), v.Fingerprint)
		d.setVerdict(now, v)
	default:
		return d.addCrashes(now, r, v.Crashes...)
	}
	return true
}

// Refuses returns the verdict because of which a request must not be sent now, or nil if it may be
// sent. After Until the process of rank 0 lets one request through per retryInterval, and those of
// higher ranks start later: the first request that crashes its endpoint renews the verdict for all
// processes. Each nil for a quarantined request counts as a retry. rank returns this process's
// rank for a request.
func (d *Detector) Refuses(now time.Time, p Fingerprint, rank func(p Fingerprint) int) *Verdict {
	r := d.records[p]
	if r == nil || !r.InForce() {
		return nil
	}
	if !r.mayRetry(now, rank(p)) {
		return &r.Verdict
	}
	r.triedAt = now
	return nil
}

// mayRetry reports whether the process of a rank may let a request through now as Until has passed.
func (r *record) mayRetry(now time.Time, rank int) bool {
	return now.Sub(r.triedAt) >= retryInterval && !now.Before(r.Until.Add(time.Duration(rank)*retryRankDelay))
}

// RefusesParts returns the verdict because of which a request with some parts must not be sent now,
// or nil if it may be sent, and when the caller may come back. After Until it lets requests through
// as Refuses does. It does so at once with a request that lacks another quarantined part to which the
// same crashes are attributed: the request's answer or its crash tells which of the two is the cause.
func (d *Detector) RefusesParts(now time.Time, parts []Subject, rank func(p Fingerprint) int) (v *Verdict, retryAt time.Time) {
	var tried []*record
	for _, t := range parts {
		r := d.records[t.Fingerprint]
		switch {
		case r == nil || !r.InForce():
			continue
		case d.hasAbsentTwin(r, parts):
			at := r.changedAt.Add(time.Duration(rank(t.Fingerprint)) * retryRankDelay)
			if at = later(at, r.triedAt.Add(twinRetryInterval)); now.Before(at) {
				return &r.Verdict, now.Add(twinRetryInterval)
			}
		case !r.mayRetry(now, rank(t.Fingerprint)):
			return &r.Verdict, r.Until
		}
		tried = append(tried, r)
	}
	for _, r := range tried {
		r.triedAt = now
	}
	return nil, time.Time{}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasAbsentTwin reports whether another part of the same callers and service than those given is
// quarantined for the same crashes as r.
func (d *Detector) hasAbsentTwin(r *record, parts []Subject) bool {
	for q, other := range d.records {
		if q == r.Fingerprint || !other.InForce() || !other.Part.sameScope(&r.Part) || slices.ContainsFunc(parts, func(t Subject) bool { return t.Fingerprint == q }) {
			continue
		}
		missing := 0
		for _, e := range r.Crashes {
			if !contains(other.Crashes, e) {
				missing++
			}
		}
		if missing <= maxTwinDifference {
			return true
		}
	}
	return false
}

// RecentChanges returns at most so many verdicts that other processes may not know yet, the latest
// change first: those that changed within gossipWindow, and quarantines that the store lacks.
func (d *Detector) RecentChanges(now time.Time, limit int) []Verdict {
	var list []*record
	for _, r := range d.records {
		if now.Sub(r.changedAt) <= gossipWindow || r.InForce() && r.storedRound != r.Round {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return b.changedAt.Compare(a.changedAt) })
	var changes []Verdict
	for _, r := range list[:min(len(list), limit)] {
		changes = append(changes, r.Verdict)
	}
	return changes
}

// Unstored returns a quarantine that the store lacks, or a lifted verdict that it still holds; nil
// if there is none. rank returns this process's rank for a request: a process waits for step per
// rank after a change, so that only one writes.
func (d *Detector) Unstored(now time.Time, step time.Duration, rank func(p Fingerprint) int) *Verdict {
	for _, r := range d.records {
		due := r.InForce() && r.storedRound != r.Round || !r.InForce() && r.storedRound > 0
		if due && now.Sub(r.changedAt) >= time.Duration(rank(r.Fingerprint))*step {
			v := r.Verdict
			return &v
		}
	}
	return nil
}

// SetStoredRound records the round of the verdict on a request that the store holds; 0 if it holds
// none.
func (d *Detector) SetStoredRound(p Fingerprint, round int) {
	if r := d.records[p]; r != nil {
		r.storedRound = round
	}
}

// Stored returns the requests whose verdicts the store holds, as far as is known here.
func (d *Detector) Stored() (list []Fingerprint) {
	for p, r := range d.records {
		if r.storedRound > 0 {
			list = append(list, p)
		}
	}
	return list
}

// RecordRestored records the round of the verdict on a request that a store holds which came back from an older
// copy; 0 if it holds none. A later round that the store has lost is due to be stored again.
func (d *Detector) RecordRestored(now time.Time, p Fingerprint, round int) {
	r := d.records[p]
	if r == nil {
		return
	}
	if round < r.storedRound {
		r.changedAt = now
	}
	r.storedRound = round
}

// RecordRemoval records that the store holds no verdict on a request any more, as an operator or
// another process has removed it. It returns the verdict if this lifts a quarantine, else nil. A
// verdict that was never stored, or was renewed since it was stored, stays.
func (d *Detector) RecordRemoval(now time.Time, p Fingerprint) *Verdict {
	r := d.records[p]
	if r == nil {
		return nil
	}
	was := r.storedRound
	r.storedRound = 0
	if was != r.Round {
		return nil
	}
	return d.Lift(now, p)
}

// Expire drops suspects, recent crashes and records whose time is over. It returns the requests of
// dropped records whose verdicts the store still holds.
func (d *Detector) Expire(now time.Time) (stored []Fingerprint) {
	for _, suspects := range []map[Fingerprint]*suspect{d.requests, d.parts} {
		maps.DeleteFunc(suspects, func(_ Fingerprint, s *suspect) bool { return now.Sub(s.at) > suspectTTL })
	}
	d.recent = slices.DeleteFunc(d.recent, func(e recentCrash) bool { return now.Sub(e.At) > suspectTTL })
	for p, r := range d.records {
		if now.Before(r.expiresAt()) {
			continue
		}
		if r.storedRound > 0 {
			stored = append(stored, p)
		}
		d.deleteRecord(p)
	}
	return stored
}

// oldest returns the key of the value with the earliest time. The map must not be empty.
func oldest[T any](in map[Fingerprint]*T, at func(*T) time.Time) (first Fingerprint) {
	var firstAt time.Time
	for p, v := range in {
		if t := at(v); firstAt.IsZero() || t.Before(firstAt) {
			first, firstAt = p, t
		}
	}
	return first
}
