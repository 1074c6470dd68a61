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
	// unread is what is left of the prompt, left what is left of the answer, in
	// tokens.
	unread, left int
	// made counts tokens since the last event.
	made int
	// dropped says that the answer is not wanted any more.
	dropped bool
	// head and token are called as the first and each later token is made.
	head, token func()
}

// endpoint is one emulated endpoint.
type endpoint struct {
	engine *Engine
	models []Model
	// waiting holds the runs that have no slot yet, reading those whose prompt
	// is not read, decoding the others; each in order.
	waiting, reading, decoding []*job
	// kept holds the shared parts in memory by key, oldest use first, and
	// keptTokens their sum, at most engine.Kept.
	kept       []part
	keptTokens int
	// busy says that a step is under way.
	busy bool
}

// part is a shared part of prompts in memory.
type part struct {
	key    partKey
	tokens int
}

// partKey names a shared part for a model.
type partKey struct{ sort, thing, model int }

// tokensKept returns how many tokens of a part are in memory and notes its use.
func (p *endpoint) tokensKept(key partKey, tokens int) int {
	if i := slices.IndexFunc(p.kept, func(q part) bool { return q.key == key }); i >= 0 {
		used := p.kept[i]
		p.kept = append(slices.Delete(p.kept, i, i+1), used)
		return used.tokens
	}
	p.kept = append(p.kept, part{key, tokens})
	p.keptTokens += tokens
	for p.keptTokens > p.engine.CacheTokens {
		p.keptTokens -= p.kept[0].tokens
		p.kept = p.kept[1:]
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
		read = min(j.unread, p.engine.ChunkTokens)
		ms := float64(read) / p.engine.TokensPerMs * p.models[j.model].ReadFactor
		d += time.Duration(ms * float64(time.Millisecond))
	}
	return d, read, true
}

// end ends a step that read so much of the first prompt.
func (p *endpoint) end(read int) {
	for _, j := range p.decoding {
		j.left--
		j.token()
	}
	p.decoding = slices.DeleteFunc(p.decoding, func(j *job) bool { return j.dropped || j.left <= 0 })
	if len(p.reading) == 0 {
		return
	}
	j := p.reading[0]
	j.unread -= read
	if j.unread > 0 {
		return
	}
	p.reading = p.reading[1:]
	j.left--
	j.head()
	if !j.dropped && j.left > 0 {
		p.decoding = append(p.decoding, j)
	}
}
