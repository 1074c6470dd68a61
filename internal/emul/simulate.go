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

	"github.com/traildrift/traildrift/pkg/epoch"
	"github.com/traildrift/traildrift/pkg/poison"
	"github.com/traildrift/traildrift/pkg/pool"
	"github.com/traildrift/traildrift/pkg/sizes"
)

// request is a request from its arrival to the end of its answer. Sizes are in tokens.
type request struct {
	class                   *Class
	classIndex, part        int
	sharedTokens, ownTokens int
	outputTokens            int
	// difficulty is uniform between 0 and 1: a model whose quality is at least the
	// difficulty answers the request well.
	difficulty float64
	// confidenceNoise is the error of each model's confidence in its answer, by model index.
	confidenceNoise []float64
	// crashing says that the request holds the part that crashes endpoints.
	crashing bool
	// router is the index of the router that places the request.
	router  int
	arrived time.Time
	// headAt is the time of the delivered answer's first token, eventAt that of its last
	// event; maxPause is the longest time between two events.
	headAt, eventAt time.Time
	maxPause        time.Duration
}

// event is an action scheduled for a simulated time.
type event struct {
	at time.Time
	// seq is the number of the event by creation; it orders events of the same time.
	seq int
	do  func()
}

// events is a heap of events for container/heap.
type events []event

// Len returns the number of events.
func (h events) Len() int { return len(h) }

// Less orders events by time, then by creation.
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}

// Swap exchanges two events.
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event; it is called by package heap only.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes and returns the last event; it is called by package heap only.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation is the state of a run of one policy with one seed.
type simulation struct {
	x      *Experiment
	policy *Policy
	// loadRand draws the requests, which are the same for every policy; policyRand serves the
	// policy's own random choices.
	loadRand, policyRand *rand.Rand
	// now is the simulated time, queue the pending events and lastSeq the number of the event
	// scheduled last.
	now     time.Time
	queue   events
	lastSeq int
	// endpoints and books hold the simulated endpoints and each router's book.
	endpoints []*endpoint
	books     []*pool.Book
	// views holds the endpoints of each router's book by router and endpoint index;
	// indexByID maps an endpoint's ID to its index.
	views     [][]*pool.Endpoint
	indexByID map[string]int
	// lastTurn is the number of round-robin placements of each router so far.
	lastTurn []int
	// expectedRead is when the prompt last placed by Prefix is expected to be read; it stays
	// zero under the other placements.
	expectedRead time.Time
	// crashes holds what the routers know of crashes, which they tell each other without delay. lives
	// counts the starts of endpoints.
	crashes *poison.Detector
	lives   uint64
	result  Result
}

// start is the beginning of simulated time.
var start = time.Unix(0, 0).UTC()

// Simulate runs a policy of the experiment with a seed until the last answer has ended.
func Simulate(x *Experiment, policy *Policy, seed uint64) Result {
	p := &simulation{x: x, policy: policy, loadRand: rand.New(rand.NewPCG(seed, 0)), policyRand: rand.New(rand.NewPCG(seed, 1)), now: start, lastTurn: make([]int, x.Routers), indexByID: make(map[string]int), crashes: poison.NewDetector()}
	for i := range x.Endpoints {
		p.lives++
		p.endpoints = append(p.endpoints, &endpoint{engine: &x.Engine, models: x.Models, life: p.lives})
		p.indexByID[endpointID(i)] = i
	}
	for range x.Routers {
		b := pool.NewBook()
		view := make([]*pool.Endpoint, x.Endpoints)
		for i := range x.Endpoints {
			b.Put(p.entry(i, epoch.At(0, 1)))
			view[i] = b.Get(endpointID(i))
		}
		p.books, p.views = append(p.books, b), append(p.views, view)
	}
	p.scheduleArrival()
	if x.StoreRestoredAt > 0 {
		p.schedule(time.Duration(x.StoreRestoredAt), p.restoreList)
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.do()
	}
	return p.result
}

// entry returns the listed entry of an endpoint.
func (p *simulation) entry(i int, revision epoch.Revision) pool.Entry {
	return pool.Entry{ID: endpointID(i), Service: service, Addr: netip.AddrPort{}, Zone: service, Version: service, Slots: p.x.Engine.Slots, Revision: revision, ReceivedAt: p.now}
}

const (
	// registerDelay is the time after which the endpoints that a restored list lacks register again, and
	// lapseGrace the time for which routers keep them.
	registerDelay = time.Second
	lapseGrace    = 2 * time.Second
)

// restoreList replaces each router's list of endpoints by that of a store which came back from an older copy.
func (p *simulation) restoreList() {
	for _, b := range p.books {
		for i := range p.endpoints {
			if i%3 == 0 {
				b.Remove(endpointID(i), epoch.At(1, 1), p.now, p.now.Add(lapseGrace))
				p.schedule(registerDelay, func() { b.Put(p.entry(i, epoch.At(1, 2))) })
				continue
			}
			e := p.entry(i, epoch.At(1, 1))
			e.Restored = true
			b.Put(e)
		}
	}
}

// service is the service, zone and version of all endpoints.
const service = "s"

func endpointID(i int) string { return fmt.Sprint("e", i) }

// schedule adds an event that calls do after the delay d.
func (p *simulation) schedule(d time.Duration, do func()) {
	p.lastSeq++
	heap.Push(&p.queue, event{p.now.Add(d), p.lastSeq, do})
}

// scheduleArrival schedules the arrival of the next request of a Poisson process, unless it lies
// past the experiment's duration.
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

// drawRequest draws a request of a random class and counts it and its value in the result.
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
		// All requests with the same part must see the same size.
		r.sharedTokens = s.SharedTokens/2 + int(pool.Hash(fmt.Sprint(i, "/", r.part))%uint64(s.SharedTokens))
	}
	for range p.x.Models {
		r.confidenceNoise = append(r.confidenceNoise, confidenceStdDev*p.loadRand.NormFloat64())
	}
	p.addTrouble(r)
	p.result.Requests++
	p.result.offered += s.Value
	return r
}

// drawSize draws a size in tokens from a log-normal distribution of the given mean: two thirds
// of the sizes lie between half of the mean and nearly twice the mean, with a tail of longer ones.
func (p *simulation) drawSize(mean int) int {
	const spread = 0.6
	return max(int(float64(mean)*math.Exp(spread*p.loadRand.NormFloat64()-spread*spread/2)), 1)
}

// send places a request and queues a run of it, with the model of the given index, at the
// endpoint.
func (p *simulation) send(r *request, model int) {
	if v, _ := p.crashes.RefusesParts(p.now, r.subjects(), func(poison.Fingerprint) int { return r.router }); v != nil {
		p.result.Refused++
		return
	}
	i := p.runningFrom(p.place(r, model))
	e := p.endpoints[i]
	if e.down {
		p.result.Lost++
		return
	}
	cached := 0
	if r.sharedTokens > 0 {
		cached = e.lookup(partKey{r.classIndex, r.part, model}, r.sharedTokens)
	}
	j := &job{req: r, model: model, load: &p.views[r.router][i].Load, sentAt: p.now, promptLeft: max(r.sharedTokens+r.ownTokens-cached, 1), outputLeft: r.outputTokens}
	p.result.TokensRead += r.sharedTokens + r.ownTokens - cached
	p.result.TokensCached += cached
	p.result.cost += p.x.Models[model].Cost * float64(r.sharedTokens+r.ownTokens) / 4 / 1000
	load := &p.views[r.router][i].Load
	load.InFlight++
	expected, sent := p.expectedRead, p.now
	j.onHead = func() {
		p.result.recordHead(expected.Sub(sent), p.now.Sub(sent))
		j.headAt = p.now
		p.handleHead(load, j)
		if r.crashing {
			p.crash(i, j)
		}
	}
	j.onToken = func() { p.handleToken(load, j) }
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.stepping = true
		p.startStep(e)
	}
}

// readSeconds returns the time in seconds that a model takes to read a prompt of the given number
// of tokens if no other run delays it.
func (p *simulation) readSeconds(model, tokens int) float64 {
	return float64(tokens) / p.x.Engine.TokensPerMs * p.x.Models[model].ReadFactor / 1000
}

// startStep begins the next step of an endpoint, which schedules the one after it.
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

// handleHead handles the first token of a run: the answer is delivered, or dropped for one of a
// larger model.
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

// confidence returns a model's confidence in its answer, 0 to 100: 50 where the request's
// difficulty equals the model's quality, with noise.
func (p *simulation) confidence(r *request, model int) int {
	return int(min(max(50+100*(p.x.Models[model].Quality-r.difficulty)+r.confidenceNoise[model], 0), 100))
}

// confidenceStdDev is the standard deviation of a model's confidence, in points of 0 to 100.
const confidenceStdDev = 15

// handleToken handles each token of a run after the first.
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

// complete adds a delivered answer to the result.
func (p *simulation) complete(load *pool.Load, j *job) {
	load.InFlight--
	r := j.req
	p.crashes.RecordAnswer(p.now, j.headAt, service, r.subjects())
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
