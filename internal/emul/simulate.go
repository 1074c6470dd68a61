// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package emul

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// request is one request while it is served.
type request struct {
	class                   *Class
	classIndex, part        int
	sharedTokens, ownTokens int
	outputTokens            int
	// difficulty is how difficulty the request is, 0 to 1: a model answers it well if its
	// quality is no less.
	difficulty float64
	// confidenceNoise is by how much each model's opinion of its answer is off.
	confidenceNoise []float64
	router          int
	arrived         time.Time
	// headAt is when the delivered answer began, eventAt when its last event
	// came; pause is the longest time between two.
	headAt, eventAt time.Time
	maxPause        time.Duration
}

// event is something that happens at a time.
type event struct {
	at time.Time
	// seq orders events at the same time by their making.
	seq int
	do  func()
}

type events []event

// Len, Less, Swap, Push and Pop make a heap of events.
func (h events) Len() int { return len(h) }

// Less orders events by time, then by their making.
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}

// Swap exchanges two events.
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop takes the last event.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation plays one policy with one seed.
type simulation struct {
	x      *Experiment
	policy *Policy
	// loadRand draws the requests, the same for every policy, policyRand what the
	// policy draws.
	loadRand, policyRand *rand.Rand
	now                  time.Time
	queue                events
	lastSeq              int
	endpoints            []*endpoint
	books                []*pool.Book
	// views holds, for each router, what its book knows of each endpoint, and
	// index where an endpoint stands by its ID.
	views     [][]*pool.Endpoint
	indexByID map[string]int
	lastTurn  []int
	// expectedRead is when the last prompt that was placed by prefix is expected to be read.
	expectedRead time.Time
	result       Result
}

// start is when simulated time begins.
var start = time.Unix(0, 0).UTC()

// Simulate plays a policy with a seed.
func Simulate(x *Experiment, policy *Policy, seed uint64) Result {
	p := &simulation{x: x, policy: policy, loadRand: rand.New(rand.NewPCG(seed, 0)), policyRand: rand.New(rand.NewPCG(seed, 1)), now: start, lastTurn: make([]int, x.Routers), indexByID: make(map[string]int)}
	for i := range x.Endpoints {
		p.endpoints = append(p.endpoints, &endpoint{engine: &x.Engine, models: x.Models})
		p.indexByID[endpointID(i)] = i
	}
	for range x.Routers {
		b := pool.NewBook()
		view := make([]*pool.Endpoint, x.Endpoints)
		for i := range x.Endpoints {
			b.Put(pool.Entry{ID: endpointID(i), Service: service, Addr: netip.AddrPort{}, Zone: service, Version: service, Slots: x.Engine.Slots, Revision: 1})
			view[i] = b.Get(endpointID(i))
		}
		p.books, p.views = append(p.books, b), append(p.views, view)
	}
	p.scheduleArrival()
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.do()
	}
	return p.result
}

// service names what all endpoints serve.
const service = "s"

func endpointID(i int) string { return fmt.Sprint("e", i) }

// schedule makes something happen schedule a while.
func (p *simulation) schedule(d time.Duration, do func()) {
	p.lastSeq++
	heap.Push(&p.queue, event{p.now.Add(d), p.lastSeq, do})
}

// scheduleArrival makes the next request scheduleArrival, until the time is over.
func (p *simulation) scheduleArrival() {
	d := time.Duration(p.loadRand.ExpFloat64() / p.x.RequestsPerSecond * float64(time.Second))
	if p.now.Add(d).Sub(start) > time.Duration(p.x.Duration) {
		return
	}
	p.schedule(d, func() {
		p.send(p.drawRequest(), p.policy.FirstModel)
		p.scheduleArrival()
	})
}

// drawRequest draws a request.
func (p *simulation) drawRequest() *request {
	sum := 0.0
	for _, s := range p.x.Classes {
		sum += s.Weight
	}
	at, i := p.loadRand.Float64()*sum, 0
	for ; i < len(p.x.Classes)-1 && at >= p.x.Classes[i].Weight; i++ {
		at -= p.x.Classes[i].Weight
	}
	s := &p.x.Classes[i]
	r := &request{class: s, classIndex: i, ownTokens: p.drawSize(s.OwnTokens), outputTokens: p.drawSize(s.OutputTokens), difficulty: p.loadRand.Float64(), router: p.loadRand.IntN(p.x.Routers), arrived: p.now}
	if s.SharedTokens > 0 {
		r.part = p.loadRand.IntN(s.SharedParts)
		// The size of a part depends on the part alone.
		r.sharedTokens = s.SharedTokens/2 + int(pool.Hash(fmt.Sprint(i, "/", r.part))%uint64(s.SharedTokens))
	}
	for range p.x.Models {
		r.confidenceNoise = append(r.confidenceNoise, confidenceStdDev*p.loadRand.NormFloat64())
	}
	p.result.Requests++
	p.result.offered += s.Value
	return r
}

// drawSize draws a size drawSize a mean: half of it to nearly twice as much for two
// thirds of the draws, longer ones now and then.
func (p *simulation) drawSize(mean int) int {
	const spread = 0.6
	return max(int(float64(mean)*math.Exp(spread*p.loadRand.NormFloat64()-spread*spread/2)), 1)
}

// send sends a request to an endpoint, with the model of an index.
func (p *simulation) send(r *request, model int) {
	i := p.place(r, model)
	e := p.endpoints[i]
	kept := 0
	if r.sharedTokens > 0 {
		kept = e.lookup(partKey{r.classIndex, r.part, model}, r.sharedTokens)
	}
	j := &job{req: r, model: model, promptLeft: max(r.sharedTokens+r.ownTokens-kept, 1), outputLeft: r.outputTokens}
	p.result.TokensRead += r.sharedTokens + r.ownTokens - kept
	p.result.TokensCached += kept
	p.result.cost += p.x.Models[model].Cost * float64(r.sharedTokens+r.ownTokens) / 4 / 1000
	load := &p.views[r.router][i].Load
	load.InFlight++
	foretold, sent := p.expectedRead, p.now
	j.onHead = func() {
		p.result.recordHead(foretold.Sub(sent), p.now.Sub(sent))
		p.handleHead(load, j)
	}
	j.onToken = func() { p.handleToken(load, j) }
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.stepping = true
		p.startStep(e)
	}
}

// readSeconds returns how long a model takes to read so many tokens readSeconds, in seconds.
func (p *simulation) readSeconds(model, tokens int) float64 {
	return float64(tokens) / p.x.Engine.TokensPerMs * p.x.Models[model].ReadFactor / 1000
}

// startStep begins the next step of an endpoint.
func (p *simulation) startStep(e *endpoint) {
	d, read, ok := e.step()
	if !ok {
		e.stepping = false
		return
	}
	p.schedule(d, func() {
		e.endStep(read)
		p.startStep(e)
	})
}

// handleHead deals with the first token of a run: the answer is kept, or given up for one
// of a larger model.
func (p *simulation) handleHead(load *pool.Load, j *job) {
	p.result.cost += p.x.Models[j.model].Cost / 1000
	r := j.req
	policy := sizes.Policy{Straight: p.policy.Straight, Step: p.policy.Step}
	if next := policy.Next(j.model, len(p.x.Models), p.confidence(r, j.model)); next != j.model {
		j.dropped = true
		load.InFlight--
		p.result.Dropped++
		p.send(r, next)
		return
	}
	r.headAt, r.eventAt = p.now, p.now
	if j.outputLeft <= 0 {
		p.complete(load, j)
	}
}

// confidence returns a model's opinion of its answer, 0 to 100: 50 where the request
// is just as hard as the model is good, with noise.
func (p *simulation) confidence(r *request, model int) int {
	return int(min(max(50+100*(p.x.Models[model].Quality-r.difficulty)+r.confidenceNoise[model], 0), 100))
}

// confidenceStdDev is the standard deviation of a model's opinion of its answer.
const confidenceStdDev = 15

// handleToken deals with each later handleToken.
func (p *simulation) handleToken(load *pool.Load, j *job) {
	r := j.req
	p.result.cost += p.x.Models[j.model].Cost / 1000
	j.sinceEvent++
	if j.sinceEvent >= r.class.EventTokens || j.outputLeft <= 0 {
		r.maxPause = max(r.maxPause, p.now.Sub(r.eventAt))
		r.eventAt, j.sinceEvent = p.now, 0
	}
	if j.outputLeft <= 0 {
		p.complete(load, j)
	}
}

// complete counts an answer that was delivered.
func (p *simulation) complete(load *pool.Load, j *job) {
	load.InFlight--
	r := j.req
	value := r.class.Value
	if r.difficulty > p.x.Models[j.model].Quality {
		p.result.Weak++
		value *= r.class.WeakFactor
	}
	if head := r.headAt.Sub(r.arrived); head > time.Duration(r.class.TargetHead) || r.maxPause > time.Duration(r.class.TargetPause) {
		p.result.Late++
		value *= r.class.LateFactor
	}
	p.result.earned += value
	p.result.headTimes = append(p.result.headTimes, r.headAt.Sub(r.arrived))
	p.result.totalTimes = append(p.result.totalTimes, p.now.Sub(r.arrived))
}
