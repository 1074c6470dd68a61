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
	sort         *Class
	index, thing int
	shared, own  int
	out          int
	// hard is how hard the request is, 0 to 1: a model answers it well if its
	// quality is no less.
	hard float64
	// noise is by how much each model's opinion of its answer is off.
	noise   []float64
	router  int
	arrived time.Time
	// headAt is when the delivered answer began, eventAt when its last event
	// came; pause is the longest time between two.
	headAt, eventAt time.Time
	pause           time.Duration
}

// event is something that happens at a time.
type event struct {
	at time.Time
	// n orders events at the same time by their making.
	n  int
	do func()
}

type events []event

// Len, Less, Swap, Push and Pop make a heap of events.
func (h events) Len() int { return len(h) }

// Less orders events by time, then by their making.
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].n < h[j].n
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

// player plays one policy with one seed.
type player struct {
	x      *Experiment
	policy *Policy
	// load draws the requests, the same for every policy, choice what the
	// policy draws.
	load, choice *rand.Rand
	now          time.Time
	queue        events
	made         int
	endpoints    []*endpoint
	books        []*pool.Book
	// views holds, for each router, what its book knows of each endpoint, and
	// index where an endpoint stands by its ID.
	views [][]*pool.Endpoint
	index map[string]int
	turns []int
	// foretold is when the last prompt that was placed by prefix is expected to be read.
	foretold time.Time
	result   Result
}

// start is when simulated time begins.
var start = time.Unix(0, 0).UTC()

// Simulate plays a policy with a seed.
func Simulate(x *Experiment, policy *Policy, seed uint64) Result {
	p := &player{x: x, policy: policy, load: rand.New(rand.NewPCG(seed, 0)), choice: rand.New(rand.NewPCG(seed, 1)), now: start, turns: make([]int, x.Routers), index: make(map[string]int)}
	for i := range x.Endpoints {
		p.endpoints = append(p.endpoints, &endpoint{engine: &x.Engine, models: x.Models})
		p.index[endpointID(i)] = i
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
	p.arrive()
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

// after makes something happen after a while.
func (p *player) after(d time.Duration, do func()) {
	p.made++
	heap.Push(&p.queue, event{p.now.Add(d), p.made, do})
}

// arrive makes the next request arrive, until the time is over.
func (p *player) arrive() {
	d := time.Duration(p.load.ExpFloat64() / p.x.RequestsPerSecond * float64(time.Second))
	if p.now.Add(d).Sub(start) > time.Duration(p.x.Duration) {
		return
	}
	p.after(d, func() {
		p.send(p.draw(), p.policy.FirstModel)
		p.arrive()
	})
}

// draw draws a request.
func (p *player) draw() *request {
	sum := 0.0
	for _, s := range p.x.Classes {
		sum += s.Weight
	}
	at, i := p.load.Float64()*sum, 0
	for ; i < len(p.x.Classes)-1 && at >= p.x.Classes[i].Weight; i++ {
		at -= p.x.Classes[i].Weight
	}
	s := &p.x.Classes[i]
	r := &request{sort: s, index: i, own: p.around(s.OwnTokens), out: p.around(s.OutputTokens), hard: p.load.Float64(), router: p.load.IntN(p.x.Routers), arrived: p.now}
	if s.SharedTokens > 0 {
		r.thing = p.load.IntN(s.SharedParts)
		// The size of a part depends on the part alone.
		r.shared = s.SharedTokens/2 + int(pool.Hash(fmt.Sprint(i, "/", r.thing))%uint64(s.SharedTokens))
	}
	for range p.x.Models {
		r.noise = append(r.noise, opinionNoise*p.load.NormFloat64())
	}
	p.result.Requests++
	p.result.owed += s.Value
	return r
}

// around draws a size around a mean: half of it to nearly twice as much for two
// thirds of the draws, longer ones now and then.
func (p *player) around(mean int) int {
	const spread = 0.6
	return max(int(float64(mean)*math.Exp(spread*p.load.NormFloat64()-spread*spread/2)), 1)
}

// send sends a request to an endpoint, with the model of an index.
func (p *player) send(r *request, model int) {
	i := p.place(r, model)
	e := p.endpoints[i]
	kept := 0
	if r.shared > 0 {
		kept = e.tokensKept(partKey{r.index, r.thing, model}, r.shared)
	}
	j := &job{req: r, model: model, unread: max(r.shared+r.own-kept, 1), left: r.out}
	p.result.TokensRead += r.shared + r.own - kept
	p.result.TokensCached += kept
	p.result.cost += p.x.Models[model].Cost * float64(r.shared+r.own) / 4 / 1000
	load := &p.views[r.router][i].Load
	load.InFlight++
	foretold, sent := p.foretold, p.now
	j.head = func() {
		p.result.heard(foretold.Sub(sent), p.now.Sub(sent))
		p.head(load, j)
	}
	j.token = func() { p.token(load, j) }
	e.waiting = append(e.waiting, j)
	if !e.busy {
		e.busy = true
		p.stepOn(e)
	}
}

// alone returns how long a model takes to read so many tokens alone, in seconds.
func (p *player) alone(model, tokens int) float64 {
	return float64(tokens) / p.x.Engine.TokensPerMs * p.x.Models[model].ReadFactor / 1000
}

// stepOn begins the next step of an endpoint.
func (p *player) stepOn(e *endpoint) {
	d, read, ok := e.step()
	if !ok {
		e.busy = false
		return
	}
	p.after(d, func() {
		e.end(read)
		p.stepOn(e)
	})
}

// head deals with the first token of a run: the answer is kept, or given up for one
// of a larger model.
func (p *player) head(load *pool.Load, j *job) {
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
	if j.left <= 0 {
		p.ended(load, j)
	}
}

// confidence returns a model's opinion of its answer, 0 to 100: 50 where the request
// is just as hard as the model is good, with noise.
func (p *player) confidence(r *request, model int) int {
	return int(min(max(50+100*(p.x.Models[model].Quality-r.hard)+r.noise[model], 0), 100))
}

// opinionNoise is the standard deviation of a model's opinion of its answer.
const opinionNoise = 15

// token deals with each later token.
func (p *player) token(load *pool.Load, j *job) {
	r := j.req
	p.result.cost += p.x.Models[j.model].Cost / 1000
	j.made++
	if j.made >= r.sort.EventTokens || j.left <= 0 {
		r.pause = max(r.pause, p.now.Sub(r.eventAt))
		r.eventAt, j.made = p.now, 0
	}
	if j.left <= 0 {
		p.ended(load, j)
	}
}

// ended counts an answer that was delivered.
func (p *player) ended(load *pool.Load, j *job) {
	load.InFlight--
	r := j.req
	value := r.sort.Value
	if r.hard > p.x.Models[j.model].Quality {
		p.result.Weak++
		value *= r.sort.WeakFactor
	}
	if head := r.headAt.Sub(r.arrived); head > time.Duration(r.sort.TargetHead) || r.pause > time.Duration(r.sort.TargetPause) {
		p.result.Late++
		value *= r.sort.LateFactor
	}
	p.result.earned += value
	p.result.heads = append(p.result.heads, r.headAt.Sub(r.arrived))
	p.result.streams = append(p.result.streams, p.now.Sub(r.arrived))
}
