// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package pool

import (
	"time"

	"github.com/traildrift/traildrift/pkg/mixer"
)

// Losses are fractions of what the request earns.
const (
	// lateLoss is the loss of a late answer: callers credit a late one with a tenth to a third.
	lateLoss = 0.8
	// rereadLoss is the loss of reading the whole prompt again though another endpoint holds its
	// prefix: 4 to 5 % by the prices and credits of each site.
	rereadLoss = 0.045
	// crossZoneLoss is the loss of sending a prompt to another availability zone: 0.4 to 5 % by the
	// prices and credits of the sites; this is their geometric mean.
	crossZoneLoss = 0.015
	// offHomeLoss is the loss of reading the whole prompt elsewhere than at its home: processes that
	// start later know of no holder and look for the prefix at the home. In a load test that ends
	// with a restart of all processes, it lowered the loss by rereading from 0.0081 to 0.0065.
	offHomeLoss = 0.03
	// saturationLoss is the loss at an endpoint whose slots are all taken, apart from the wait: runs
	// slow one another down by up to a third, and peers do not report all that they send.
	saturationLoss = 0.05
)

// Wait returns how long the request is expected to wait at an endpoint until its prompt is read, in
// seconds.
func (w *Want) Wait(p *Endpoint, now time.Time) float64 {
	wait := p.Load.Wait(now)
	if w.Urgent {
		wait *= w.AheadFraction
	}
	over := p.Load.Runs(now) + 1 - max(p.Slots, 1)
	return wait + p.Pace.Factor(now)*w.StreamTime*max(float64(over), 0)/float64(max(p.Slots, 1))
}

// loss returns the expected loss of the request at an endpoint; holds says whether the endpoint holds
// its prefix.
func (w *Want) loss(p *Endpoint, now time.Time, holds bool) float64 {
	read, reread := w.FullRead, rereadLoss*w.SharedFraction
	if holds {
		read, reread = w.UnsharedRead, 0
	}
	read *= p.Pace.Factor(now)
	wait := w.Wait(p, now)
	loss := lateLoss*(lateness(wait+read, w.TimeLeft)+w.delayToOthers(read, wait)) + saturationLoss*p.utilization(now) + reread
	if p.Zone != w.Zone {
		loss += crossZoneLoss
	}
	return loss
}

// OthersLoss returns what other requests lose by a prompt that takes read seconds to read after wait
// seconds, in fractions of what this request earns.
func (w *Want) OthersLoss(read, wait float64) float64 {
	return lateLoss * w.OthersWorth * w.delayToOthers(read, wait)
}

// delayToOthers returns the added probability of lateness, summed over the other requests, that a prompt
// causes which takes read seconds to read after wait seconds. It delays those that arrive while it waits
// or is read, on average by half of its reading time. Their aims are assumed to be like this request's.
func (w *Want) delayToOthers(read, wait float64) float64 {
	if w.Aim <= 0 {
		return 0
	}
	return w.PromptRate * (wait + read) * lateness(read/2, w.Aim)
}

// lateness returns the probability, 0 to 1, that the head of an answer, expected after head seconds, takes
// longer than left seconds. The actual time is taken as uniform from 0 to twice the expected. Beyond
// certainty the value grows by up to lateTail, so that the least late of several late endpoints is
// preferred.
func lateness(head, left float64) float64 {
	x := head / (2 * max(left, minTimeLeft))
	if x <= 1 {
		return x
	}
	return 1 + lateTail*(1-1/x)
}

const (
	// minTimeLeft keeps the quotient finite where no time is left, in seconds.
	minTimeLeft = 0.01
	// lateTail bounds how far lateness grows above 1.
	lateTail = 0.1
)

// candidate is the endpoint with the least loss found so far.
type candidate struct {
	p    *Endpoint
	why  Reason
	loss float64
}

// consider replaces the candidate if an endpoint has a smaller loss.
func (c *candidate) consider(p *Endpoint, why Reason, loss float64) {
	if c.p == nil || loss < c.loss {
		*c = candidate{p, why, loss}
	}
}

// pickForPrefix returns the endpoint at which a request with a prefix loses least: one of the prefix's
// holders, its homes, or a random sample. It does not search all endpoints, as every process has about
// the same data and all would send to the same best one.
func (b *Book) pickForPrefix(eligible []*Endpoint, now time.Time, w *Want, trust trustTest) (*Endpoint, Reason) {
	var best candidate
	near, all := home(eligible, w)
	best.consider(all, ByHome, w.HomeChance*w.loss(all, now, true)+(1-w.HomeChance)*w.loss(all, now, false))
	offHome := offHomeLoss * w.SharedFraction
	if near != nil {
		best.consider(near, ByZone, w.loss(near, now, false)+offHome)
	}
	draw := w.Draw
	for range max(w.SampleSize, minSample) {
		draw = mixer.Mix(draw)
		p := eligible[draw%uint64(len(eligible))]
		best.consider(p, ByLoad, w.loss(p, now, false)+offHome)
	}
	holder := b.holder(now, w, trust)
	if holder.p != nil && holder.loss <= best.loss {
		return holder.p, ByAffinity
	}
	w.PassedOver = holder.p
	return best.p, best.why
}

// holder returns the endpoint with the least loss among the recorded holders of the request's prefix that
// may serve it.
func (b *Book) holder(now time.Time, w *Want, trust trustTest) (best candidate) {
	in := b.prefixes.lookup(w.Affinity)
	if in == nil || w.IgnoreHolders {
		return best
	}
	for _, h := range in {
		p := b.byHash[h.endpoint]
		if p == nil || now.Sub(h.at) > prefixTTL || h.at.Before(p.emptySince) || p.Service != w.Service || !p.fits(now, w) {
			continue
		}
		if trust == nil || trust(p, now) {
			best.consider(p, ByAffinity, w.loss(p, now, true))
		}
	}
	return best
}

// minSample is the least number of endpoints that are drawn: the better of two is much better than one
// (Mitzenmacher, 2001).
const minSample = 2

// home returns the homes of a prefix by rendezvous hash (Thaler and Ravishankar, 1998): one among all
// endpoints, and one among those of the request's availability zone, nil if there are none. Every process
// finds the same, also one that has just started.
func home(eligible []*Endpoint, w *Want) (near, all *Endpoint) {
	var nearMax, allMax uint64
	for _, p := range eligible {
		h := mixer.Mix(w.Affinity ^ p.hash)
		if all == nil || h > allMax {
			all, allMax = p, h
		}
		if p.Zone == w.Zone && (near == nil || h > nearMax) {
			near, nearMax = p, h
		}
	}
	return near, all
}
