// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"slices"
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
)

// job is one run of a request at an endpoint.
type job struct {
	req *request
	// model is the model's index in Experiment.Models.
	model int
	// promptLeft is the number of prompt tokens still to be read, outputLeft that of tokens
	// still to be generated.
	promptLeft, outputLeft int
	// sinceEvent is the number of tokens generated since the last event.
	sinceEvent int
	// load is that of the endpoint in its router's book. sentAt is when the request was sent, headAt
	// when its first token was generated; zero before.
	load           *pool.Load
	sentAt, headAt time.Time
	// dropped says that the answer was given up for a larger model's.
	dropped bool
	// onHead is called when the first token is generated, onToken for each later one.
	onHead, onToken func()
}

// endpoint is one simulated endpoint.
type endpoint struct {
	engine *Engine
	models []Model
	// waiting holds the runs without a slot, reading those with a slot whose prompt has not
	// been read whole, decoding the others with a slot; each in order of arrival there.
	waiting, reading, decoding []*job
	// cache holds the cached parts, least recently used first. cachedTokens is the sum of
	// their sizes, at most engine.CacheTokens.
	cache        []cachedPart
	cachedTokens int
	// stepping says that a step is in progress.
	stepping bool
	// life identifies the start of the endpoint. down says that it crashed and is not back.
	life uint64
	down bool
}

// cachedPart is a shared part of prompts that an endpoint holds in its cache.
type cachedPart struct {
	key    partKey
	tokens int
}

// partKey identifies a shared part for a model, by the indices of class, part and model.
type partKey struct{ class, part, model int }

// lookup returns how many tokens of a part are in the cache and marks the part as the most
// recently used. A part that is missing is added with the given size; the least recently used
// parts are evicted to make room.
func (p *endpoint) lookup(key partKey, tokens int) int {
	if i := slices.IndexFunc(p.cache, func(q cachedPart) bool { return q.key == key }); i >= 0 {
		used := p.cache[i]
		p.cache = append(slices.Delete(p.cache, i, i+1), used)
		return used.tokens
	}
	p.cache = append(p.cache, cachedPart{key, tokens})
	p.cachedTokens += tokens
	for p.cachedTokens > p.engine.CacheTokens {
		p.cachedTokens -= p.cache[0].tokens
		p.cache = p.cache[1:]
	}
	return 0
}

// runs returns the number of runs with a slot.
func (p *endpoint) runs() int { return len(p.reading) + len(p.decoding) }

// admit moves waiting runs to free slots, first come first served.
func (p *endpoint) admit() {
	for len(p.waiting) > 0 && p.runs() < p.engine.Slots {
		p.reading = append(p.reading, p.waiting[0])
		p.waiting = p.waiting[1:]
	}
}

// step begins a step. It returns the step's duration and how many tokens of the first prompt it
// reads; ok is false if the endpoint is idle.
func (p *endpoint) step() (d time.Duration, read int, ok bool) {
	p.admit()
	if p.runs() == 0 {
		return 0, 0, false
	}
	d = time.Duration(p.engine.Step) + time.Duration(p.runs())*time.Duration(p.engine.StepPerRun)
	if len(p.reading) > 0 {
		j := p.reading[0]
		read = min(j.promptLeft, p.engine.ChunkTokens)
		ms := float64(read) / p.engine.TokensPerMs * p.models[j.model].ReadFactor
		d += time.Duration(ms * float64(time.Millisecond))
	}
	return d, read, true
}

// endStep ends a step that read the given number of tokens of the first prompt: it generates the
// step's tokens, and the first token of a run whose prompt is now read whole.
func (p *endpoint) endStep(read int) {
	for _, j := range p.decoding {
		j.outputLeft--
		j.onToken()
	}
	p.decoding = slices.DeleteFunc(p.decoding, func(j *job) bool { return j.dropped || j.outputLeft <= 0 })
	if len(p.reading) == 0 {
		return
	}
	j := p.reading[0]
	j.promptLeft -= read
	if j.promptLeft > 0 {
		return
	}
	p.reading = p.reading[1:]
	j.outputLeft--
	j.onHead()
	if !p.down && !j.dropped && j.outputLeft > 0 {
		p.decoding = append(p.decoding, j)
	}
}
