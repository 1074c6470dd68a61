// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package guard

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/assert"
	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/proc"
	"github.com/traildrift/traildrift/internal/spread"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
	"github.com/traildrift/traildrift/pkg/seal"
	"github.com/traildrift/traildrift/pkg/stream"
)

func TestMain(m *testing.M) {
	assert.SetFatal()
	os.Exit(m.Run())
}

const (
	keyHex   = "00112233445566778899aabbccddeeff"
	keysYAML = "link: [{id: a, hex: " + keyHex + "}]\ntoken: [{id: a, hex: " + keyHex + "}]\n"
	serving  = `
models: {m: {versions: {"1": {pool: p, cost: 1, quality: 1}, "2": {pool: p, cost: 1, quality: 1}}}}
workspaces: {w: {keyHashes: [], values: {allow: [m]}, workloads: {l: {}}}}
`
	withdrawn = `
models: {m: {versions: {"1": {pool: p, cost: 1, quality: 1, state: withdrawn}, "2": {pool: p, cost: 1, quality: 1}}}}
workspaces: {w: {keyHashes: [], values: {allow: [m]}, workloads: {l: {}}}}
`
)

// slowEngine answers "answer" in two parts, the second once release is closed.
type slowEngine struct {
	mu sync.Mutex
	// runs counts the runs of each key.
	runs map[wire.RunKey]int
	// startedKeys receives the key of each run that starts.
	startedKeys chan wire.RunKey
	release     chan struct{}
	// lost, if it is set, is the outcome of all runs; probes then fail.
	lost atomic.Pointer[fault.Error]
	// onProbe, if it is set, is called by each probe between its measurement and its return.
	onProbe atomic.Pointer[func()]
}

func (s *slowEngine) run(ctx context.Context, key wire.RunKey, _ *wire.Work, b *stream.Buffer) (wire.Usage, *fault.Error) {
	if err := s.lost.Load(); err != nil {
		return wire.Usage{}, err
	}
	s.mu.Lock()
	s.runs[key]++
	s.mu.Unlock()
	_ = b.Append(0, 0, []byte("ans"))
	s.startedKeys <- key
	select {
	case <-s.release:
	case <-ctx.Done():
		return wire.Usage{}, fault.New(fault.NotWhole, fault.Ran, "cancelled")
	}
	_ = b.Append(0, 3, []byte("wer"))
	return wire.Usage{CompletionTokens: 2}, nil
}

// probe returns an error if lost is set.
func (s *slowEngine) probe(context.Context) ([]string, error) {
	err := s.lost.Load()
	if f := s.onProbe.Load(); f != nil {
		(*f)()
	}
	if err != nil {
		return nil, err
	}
	return nil, nil
}

// waitStarted waits until the next run has started and returns its key.
func (s *slowEngine) waitStarted(t *testing.T) wire.RunKey {
	t.Helper()
	select {
	case key := <-s.startedKeys:
		return key
	case <-time.After(10 * time.Second):
		t.Fatal("no run has started within 10 s")
		return wire.RunKey{}
	}
}

// count returns the number of runs of key.
func (s *slowEngine) count(key wire.RunKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// harness is a guard with one slot and a client that acts as an entry.
type harness struct {
	g      *Guard
	engine *slowEngine
	// holder and local are the settings and the link side of the client.
	holder *spread.Holder
	local  *link.Local
	mu     sync.Mutex
	// bufs receives the chunks of each run.
	bufs map[wire.RunKey]*stream.Buffer
	// stop starts a planned stop of the guard; ended receives the result of Run.
	stop  context.CancelFunc
	ended chan error
}

// startHarness starts a guard with a queue of 8 and the settings serving.
func startHarness(t *testing.T) *harness {
	t.Helper()
	keys := filepath.Join(t.TempDir(), "keys.yaml")
	if err := os.WriteFile(keys, []byte(keysYAML), 0o600); err != nil {
		t.Fatal(err)
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	g, err := New(Settings{
		Common:   proc.Common{VM: "vm", AvailabilityZone: "a", Link: loopback, Operators: loopback, Platform: closedPort(t), Keys: keys, LogLevel: "error"},
		Pool:     "p",
		Kind:     KindEngine,
		Endpoint: closedPort(t),
		Slots:    1,
		Waiting:  8,
	})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{g: g, bufs: make(map[wire.RunKey]*stream.Buffer)}
	h.engine = &slowEngine{runs: make(map[wire.RunKey]int), startedKeys: make(chan wire.RunKey, 16), release: make(chan struct{})}
	g.endpoint = &Endpoint{Run: h.engine.run, Probe: h.engine.probe}
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	h.stop, h.ended = cancelStop, make(chan error, 1)
	go func() {
		h.ended <- g.Run(proc.Stages{Stop: stop, Kill: kill})
		close(h.ended)
	}()
	t.Cleanup(func() {
		cancelKill()
		cancelStop()
		for range h.ended {
		}
	})
	h.holder = spread.New(zap.NewNop(), time.Now, nil)
	h.applySettings(t, serving)
	h.local = h.newLocal(t, keyHex, "entry-1")
	return h
}

// closedPort returns a loopback address with a port that refuses connections.
func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// newLocal returns the link side of an entry with the given link key and
// incarnation.
func (h *harness) newLocal(t *testing.T, hex, incarnation string) *link.Local {
	t.Helper()
	ring, err := seal.NewKeyring([]seal.Key{{ID: "a", Hex: hex}})
	if err != nil {
		t.Fatal(err)
	}
	mux := link.NewMux(func(task func()) error { go task(); return nil }, nil)
	link.Handle(mux, wire.MethodDelta, h.holder.Serve)
	link.HandleInline(mux, wire.MethodChunk, func(_ *link.Conn, c wire.Chunk) { _ = h.buf(c.Key).Append(0, c.Offset, c.Data) })
	return &link.Local{Identity: wire.Identity{VM: "e", Role: store.RoleEntry, Incarnation: incarnation}, Keys: ring, Mux: mux, Revision: h.holder.Revision}
}

func (h *harness) buf(key wire.RunKey) *stream.Buffer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bufs[key] == nil {
		h.bufs[key] = stream.New(100)
	}
	return h.bufs[key]
}

// applySettings puts the settings in text in force at the client, as the next
// revision.
func (h *harness) applySettings(t *testing.T, text string) {
	t.Helper()
	f, err := config.ParseFile("bench", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	edits, bodies := make(map[string]string), make(map[string][]byte)
	for path, n := range f.Nodes() {
		body, hash := n.Encode()
		edits[path], bodies[hash] = hash, body
	}
	if err := h.holder.Advance(h.holder.Current().Head.Next(edits, config.Change{}), bodies); err != nil {
		t.Fatal(err)
	}
}

func (h *harness) dial(t *testing.T) *link.Conn {
	t.Helper()
	c, err := h.local.Dial(t.Context(), h.g.LinkAddr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// run sends a run of version 1 with the given settings revision and returns the
// reply.
func (h *harness) run(t *testing.T, c *link.Conn, id string, revision int64) wire.RunReply {
	t.Helper()
	var reply wire.RunReply
	if err := c.Call(context.Background(), wire.MethodRun, h.newRun(id, revision), &reply); err != nil {
		reply.Err = fault.From(err, fault.MayHaveRun)
	}
	return reply
}

// newRun returns a run of version 1 with the given settings revision.
func (h *harness) newRun(id string, revision int64) *wire.Run {
	return &wire.Run{
		Stamp: wire.Stamp{Revision: revision},
		Key:   wire.RunKey{RunID: id, Attempt: 1},
		Guard: h.g.Identity.Incarnation,
		Work:  wire.Work{Call: wire.Call{Workspace: "w", Workload: "l", Model: "m", Deadline: time.Now().Add(20 * time.Second)}, Version: "1", Repeatable: true},
	}
}

// runAsync is run in a goroutine, with the client's revision.
func (h *harness) runAsync(t *testing.T, c *link.Conn, id string) <-chan wire.RunReply {
	out := make(chan wire.RunReply, 1)
	go func() { out <- h.run(t, c, id, h.holder.Revision()) }()
	return out
}

// queryRun sends a RunQuery to the given guard incarnation and returns the reply.
func (h *harness) queryRun(t *testing.T, c *link.Conn, id, guard string, offset int) wire.RunReply {
	t.Helper()
	var reply wire.RunReply
	p := wire.RunQuery{Key: wire.RunKey{RunID: id, Attempt: 1}, Guard: guard, Offset: offset, Deadline: time.Now().Add(time.Minute)}
	if err := c.Call(t.Context(), wire.MethodRunQuery, p, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// waitQueued waits until n runs wait in the guard's queue.
func (h *harness) waitQueued(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		h.g.mu.Lock()
		got := h.g.queue.Waiting()
		h.g.mu.Unlock()
		if got == n {
			return
		}
	}
	t.Fatalf("the queue did not hold %d runs within 10 s", n)
}

// checkReply checks that a reply has an error of the given kind and run state, or
// none if kind is empty.
func checkReply(t *testing.T, what string, got wire.RunReply, kind fault.Kind, run fault.RunState) {
	t.Helper()
	if kind == "" {
		if got.Err != nil {
			t.Errorf("%s: got %v, want a complete answer", what, got.Err)
		}
		return
	}
	if got.Err == nil || got.Err.Kind != kind || got.Err.Run != run {
		t.Errorf("%s: got %v, want %s %s", what, got.Err, kind, run)
	}
}

// TestRunOnce checks that a run that arrives again is refused and not started again,
// both while the first is running and after its end.
func TestRunOnce(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	first := h.runAsync(t, c, "r")
	key := h.engine.waitStarted(t)
	checkReply(t, "the same run again", h.run(t, c, "r", 1), fault.AlreadyRan, fault.MayHaveRun)
	close(h.engine.release)
	checkReply(t, "the first", <-first, "", "")
	checkReply(t, "the same run after its end", h.run(t, c, "r", 1), fault.AlreadyRan, fault.MayHaveRun)
	if got := h.engine.count(key); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// TestTombstone checks that a run that was queried before it arrives is refused, and
// that a query to an earlier incarnation answers that the run may have run.
func TestTombstone(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	checkReply(t, "query of a run that has not arrived", h.queryRun(t, c, "r", h.g.Identity.Incarnation, 0), fault.EndpointLost, fault.NotRun)
	checkReply(t, "the run arrives late", h.run(t, c, "r", 1), fault.EndpointLost, fault.NotRun)
	checkReply(t, "query to another incarnation", h.queryRun(t, c, "s", "before", 0), fault.EndpointLost, fault.MayHaveRun)
	if got := len(h.engine.runs); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

// TestSupersededLink checks that a run is refused if it arrives over a link that the
// peer has replaced by a newer one.
func TestSupersededLink(t *testing.T) {
	h := startHarness(t)
	old := h.dial(t)
	fresh := h.dial(t)
	checkReply(t, "over the old link", h.run(t, old, "r", 1), fault.EndpointLost, fault.NotRun)
	close(h.engine.release)
	checkReply(t, "over the new link", h.run(t, fresh, "s", 1), "", "")
}

// TestQueryAfterBrokenLink checks that a query over a second link returns the rest of
// the answer without a second run.
func TestQueryAfterBrokenLink(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	lost := h.runAsync(t, c, "r")
	key := h.engine.waitStarted(t)
	c.Close()
	if got := (<-lost).Err; got == nil {
		t.Error("the broken link's call: got nil, want an error")
	}
	fresh := h.dial(t)
	close(h.engine.release)
	got := h.queryRun(t, fresh, "r", h.g.Identity.Incarnation, h.buf(key).Len())
	checkReply(t, "query", got, "", "")
	if text := string(h.buf(key).Bytes()); text != "answer" || h.engine.count(key) != 1 {
		t.Errorf("got %q after %d runs, want answer after 1", text, h.engine.count(key))
	}
}

// TestQueryAfterGuardBilled checks that the record and the answer of a run are kept
// after the guard has billed it because its link broke, as the entry may still query
// the run.
func TestQueryAfterGuardBilled(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	lost := h.runAsync(t, c, "r")
	key := h.engine.waitStarted(t)
	c.Close()
	<-lost
	close(h.engine.release)
	for held := 0; held == 0; time.Sleep(time.Millisecond) {
		held, _ = h.g.bills.Held()
	}
	h.g.sweep(time.Now())
	checkReply(t, "query", h.queryRun(t, h.dial(t), "r", h.g.Identity.Incarnation, h.buf(key).Len()), "", "")
	if text := string(h.buf(key).Bytes()); text != "answer" {
		t.Errorf("got %q, want answer", text)
	}
}

// TestOrphan checks that a queued run whose link broke is never started.
func TestOrphan(t *testing.T) {
	h := startHarness(t)
	keep, lose := h.dial(t), (*link.Conn)(nil)
	first := h.runAsync(t, keep, "first")
	h.engine.waitStarted(t)
	h.local = h.newLocal(t, keyHex, "entry-2")
	lose = h.dial(t)
	lost := h.runAsync(t, lose, "orphan")
	h.waitQueued(t, 1)
	h.g.mu.Lock()
	noticed := h.g.links["entry-2"].conn.Done()
	h.g.mu.Unlock()
	lose.Close()
	<-lost
	<-noticed
	close(h.engine.release)
	checkReply(t, "the first", <-first, "", "")
	checkReply(t, "query of the orphan", h.queryRun(t, h.dial(t), "orphan", h.g.Identity.Incarnation, 0), fault.EndpointLost, fault.NotRun)
	if got := h.engine.count(wire.RunKey{RunID: "orphan", Attempt: 1}); got != 0 {
		t.Errorf("runs of the orphan: got %d, want 0", got)
	}
}

// guardLink returns the guard's side of the link of an incarnation.
func (h *harness) guardLink(incarnation string) *link.Conn {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	return h.g.links[incarnation].conn
}

// TestOrphanNotRevivedByQuery checks that a queued run whose link broke gets its tombstone
// at once when a slot is free for it. Otherwise an entry that queries the run at that
// moment would become its owner, and the run would start.
func TestOrphanNotRevivedByQuery(t *testing.T) {
	h := startHarness(t)
	first := h.runAsync(t, h.dial(t), "first")
	h.engine.waitStarted(t)
	h.local = h.newLocal(t, keyHex, "entry-2")
	lose := h.dial(t)
	owner := h.guardLink("entry-2")
	orphan := h.enqueue(t, owner, "orphan")
	lose.Close()
	<-owner.Done()
	close(h.engine.release)
	checkReply(t, "the first", <-first, "", "")
	h.dial(t)
	adopted, _ := h.g.lookUp(h.guardLink("entry-2"), &wire.RunQuery{Key: orphan.key, Guard: h.g.Identity.Incarnation})
	if adopted != orphan {
		t.Fatalf("record returned by the query: got %v, want the orphan's", adopted)
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	if orphan.phase != phaseTombstone {
		t.Fatalf("phase of the orphan once a slot is free: got %s, want tombstone", orphan.phase)
	}
	checkReply(t, "the orphan", orphan.reply, fault.EndpointLost, fault.NotRun)
}

// enqueue offers a run to the guard's queue without a handler that waits for it.
func (h *harness) enqueue(t *testing.T, c *link.Conn, id string) *record {
	t.Helper()
	r, refused := h.g.enqueue(c, h.newRun(id, h.holder.Revision()))
	if refused != nil {
		t.Fatal(refused)
	}
	return r
}

// TestWithdrawnVersion checks that a withdrawn version gets no new run, whether the
// entry or the guard receives the settings first, and that a running run may finish.
func TestWithdrawnVersion(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	running := h.runAsync(t, c, "running")
	h.engine.waitStarted(t)
	queued := h.runAsync(t, c, "queued")
	h.waitQueued(t, 1)
	h.applySettings(t, withdrawn)
	checkReply(t, "from an entry with newer settings", h.run(t, c, "newer", 2), fault.VersionWithdrawn, fault.NotRun)
	checkReply(t, "queued before", <-queued, fault.VersionWithdrawn, fault.NotRun)
	got := h.run(t, c, "older", 1)
	checkReply(t, "from an entry with older settings", got, fault.VersionWithdrawn, fault.NotRun)
	if got.Revision != 2 {
		t.Errorf("revision in the refusal: got %d, want 2", got.Revision)
	}
	close(h.engine.release)
	checkReply(t, "running before", <-running, "", "")
}

// TestLeavingGuardRefusesWork checks that a leaving guard refuses queued and new runs as
// not run, and lets a running run finish.
func TestLeavingGuardRefusesWork(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	running := h.runAsync(t, c, "running")
	h.engine.waitStarted(t)
	queued := h.runAsync(t, c, "queued")
	h.waitQueued(t, 1)
	h.g.leave()
	checkReply(t, "queued", <-queued, fault.Stopping, fault.NotRun)
	checkReply(t, "new", h.run(t, c, "new", 1), fault.Stopping, fault.NotRun)
	close(h.engine.release)
	checkReply(t, "running", <-running, "", "")
}

// TestStopWaitsForEntries checks that a stopping guard keeps refusing runs until the
// entry reports that it has no run there and will send none, and then ends.
func TestStopWaitsForEntries(t *testing.T) {
	h := startHarness(t)
	c := h.dial(t)
	beat := func(released bool) (wire.HeartbeatReply, error) {
		var reply wire.HeartbeatReply
		return reply, c.Call(t.Context(), wire.MethodHeartbeat, wire.Heartbeat{Released: released}, &reply)
	}
	if _, err := beat(false); err != nil {
		t.Fatal(err)
	}
	h.stop()
	for range 40 {
		if _, err := beat(false); err != nil {
			t.Fatalf("the guard stopped before the entry released it: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	checkReply(t, "a run that was sent meanwhile", h.run(t, c, "late", 1), fault.Stopping, fault.NotRun)
	_, _ = beat(true)
	select {
	case err := <-h.ended:
		if err != nil {
			t.Errorf("end: got %v, want nil", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the guard did not stop within 10 s of its release")
	}
}

// TestLinkKey checks that a peer with another link key cannot open a link.
func TestLinkKey(t *testing.T) {
	h := startHarness(t)
	stranger := h.newLocal(t, "ffffffffffffffffffffffffffffffff", "stranger")
	if _, err := stranger.Dial(t.Context(), h.g.LinkAddr()); !errors.Is(err, link.ErrProof) {
		t.Errorf("with another key: got %v, want %v", err, link.ErrProof)
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	if got := len(h.g.links); got != 0 {
		t.Errorf("links: got %d, want 0", got)
	}
}
