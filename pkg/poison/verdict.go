// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package poison

import (
	"slices"
	"time"
)

// Crash is an unplanned end of one incarnation of an endpoint.
type Crash struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// At is when the crash was observed, by the clock of the process that holds this value.
	At time.Time
}

// same reports whether two reports are of the same crash. An endpoint that restarts under its
// ID may crash again, so the ID alone does not identify a crash.
func (e Crash) same(o Crash) bool {
	return e.Endpoint == o.Endpoint && e.At.Sub(o.At).Abs() <= sameCrashWindow
}

// sameCrashWindow is the largest difference between the times in reports of one crash. Processes
// notice a crash within milliseconds, and stamp reports of others when they read them: one that is
// short of processor time or was suspended is late by a second and more. An endpoint that is back
// under its ID and crashes again within the window counts once.
const sameCrashWindow = 3 * time.Second

// Verdict is the decision on one subject: quarantined, or lifted. A Verdict of round 0 is a
// suspicion, as Detector.Suspicions returns it.
type Verdict struct {
	Fingerprint Fingerprint
	// Part is the part that Fingerprint identifies; zero for a request, and where a process of an
	// earlier release passed the verdict on.
	Part Part
	// Round is the version of the verdict, incremented with each change: odd while the request
	// is quarantined, even once that is lifted. It never decreases; of two verdicts the one with
	// the higher round wins.
	Round int
	// Until is when a quarantined request may be retried. For a lifted verdict it is when the
	// verdict is dropped.
	Until time.Time
	// Crashes are the crashes under the subject, in the order in which they were reported, at
	// most maxCrashesPerSubject. A lifted verdict has none, unless it was lifted because other
	// subjects are the clearer cause of its crashes.
	Crashes []Crash
}

// maxCrashesPerSubject is the largest number of crashes stored for a subject. A request that arrives
// ten times a second crashes some twenty endpoints before all processes know of it.
const maxCrashesPerSubject = 32

// InForce reports whether the request is quarantined, as opposed to lifted.
func (v *Verdict) InForce() bool { return v.Round%2 == 1 }

const (
	// initialQuarantine is the length of the first quarantine of a request. It doubles with each
	// further quarantine up to maxQuarantine, so that a request that is repeated without end crashes
	// ten endpoints in the first week, and one that was quarantined wrongly is served again after
	// ten minutes.
	initialQuarantine = 10 * time.Minute
	maxQuarantine     = 24 * time.Hour
	// liftedTTL is how long a lifted verdict is stored, so that a late report of the quarantine
	// does not reinstate it.
	liftedTTL = 10 * time.Minute
)

// duration returns how long the verdict's round lasts.
func (v *Verdict) duration() time.Duration {
	if !v.InForce() {
		return liftedTTL
	}
	return min(initialQuarantine<<min(v.Round/2, 16), maxQuarantine)
}

// nextRound returns the verdict of the nextRound round, which starts now. It keeps the crashes.
func (v *Verdict) nextRound(now time.Time) Verdict {
	n := Verdict{Fingerprint: v.Fingerprint, Part: v.Part, Round: v.Round + 1, Crashes: v.Crashes}
	n.Until = now.Add(n.duration())
	return n
}

// expiresAt returns when the verdict is dropped. A quarantine is stored for its own length
// beyond Until; a single crash within that time renews it.
func (v *Verdict) expiresAt() time.Time {
	if !v.InForce() {
		return v.Until
	}
	return v.Until.Add(v.duration())
}

// Explains reports whether the verdict attributes a crash to its request: the request is
// quarantined and the crash is among Crashes.
func (v *Verdict) Explains(e Crash) bool { return v.InForce() && contains(v.Crashes, e) }

// contains reports whether a crash is in a list.
func contains(list []Crash, e Crash) bool { return slices.ContainsFunc(list, e.same) }

// mergeCrashes appends to list the crashes of more that it lacks, up to maxCrashesPerSubject in all,
// and reports whether there were any. It does not modify the array behind list.
func mergeCrashes(list []Crash, more ...Crash) ([]Crash, bool) {
	was := len(list)
	for _, e := range more {
		if len(list) < maxCrashesPerSubject && !contains(list, e) {
			list = append(slices.Clip(list), e)
		}
	}
	return list, len(list) > was
}
