// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"slices"
	"time"
)

// job is one run of a request at an endpoint.
type job struct {
	req   *request
	model int
	// promptLeft is what is outputLeft of the prompt, outputLeft what is outputLeft of the answer, in
	// tokens.
	promptLeft, outputLeft int
	// sinceEvent counts tokens since the last event.
	sinceEvent int
	// dropped says that the answer is not wanted any more.
	dropped bool
	// onHead and onToken are called as the first and each later onToken is made.
	onHead, onToken func()
}

// endpoint is one emulated endpoint.
type endpoint struct {
	engine *Engine
	models []Model
	// waiting holds the runs that have no slot yet, reading those whose prompt
	// is not read, decoding the others; each in order.
	waiting, reading, decoding []*job
	// cache holds the shared parts in memory by key, oldest use first, and
	// keptTokens their sum, at most engine.Kept.
	cache        []cachedPart
	cachedTokens int
	// stepping says that a step is under way.
	stepping bool
}

// cachedPart is a shared cachedPart of prompts in memory.
type cachedPart struct {
	key    partKey
	tokens int
}

// partKey names a shared part for a model.
type partKey struct{ class, part, model int }

// lookup returns how many tokens of a part are in memory and notes its use.
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

// runs returns how many runs have a slot.
func (p *endpoint) runs() int { return len(p.reading) + len(p.decoding) }

// admit moves waiting runs to free slots.
func (p *endpoint) admit() {
	for len(p.waiting) > 0 && p.runs() < p.engine.Slots {
		p.reading = append(p.reading, p.waiting[0])
		p.waiting = p.waiting[1:]
	}
}

// step returns how long the next step takes, and what it reads of the first prompt;
// ok is false if there is nothing to do.
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

// endStep ends a step that read so much of the first prompt.
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
	if !j.dropped && j.outputLeft > 0 {
		p.decoding = append(p.decoding, j)
	}
}
