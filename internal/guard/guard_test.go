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

// slowEngine answers "answer" in two pieces, the second once release is closed.
type slowEngine struct {
	mu      sync.Mutex
	runs    map[wire.RunKey]int
	begun   chan wire.RunKey
	release chan struct{}
}

func (s *slowEngine) run(ctx context.Context, key wire.RunKey, _ *wire.Work, b *stream.Buffer) (wire.Usage, *fault.Error) {
	s.mu.Lock()
	s.runs[key]++
	s.mu.Unlock()
	_ = b.Append(0, 0, []byte("ans"))
	s.begun <- key
	select {
	case <-s.release:
	case <-ctx.Done():
		return wire.Usage{}, fault.New(fault.NotWhole, fault.Ran, "cancelled")
	}
	_ = b.Append(0, 3, []byte("wer"))
	return wire.Usage{CompletionTokens: 2}, nil
}

// started waits until a run has begun.
func (s *slowEngine) started(t *testing.T) wire.RunKey {
	t.Helper()
	select {
	case key := <-s.begun:
		return key
	case <-time.After(10 * time.Second):
		t.Fatal("no run has begun")
		return wire.RunKey{}
	}
}

func (s *slowEngine) count(key wire.RunKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// bench is a guard with one slot and a caller that speaks as an entry does.
type bench struct {
	g      *Guard
	engine *slowEngine
	holder *spread.Holder
	local  *link.Local
	mu     sync.Mutex
	// bufs takes the chunks of each run.
	bufs map[wire.RunKey]*stream.Buffer
	// stop asks the guard for a planned stop; ended takes how it ended.
	stop  context.CancelFunc
	ended chan error
}

func startBench(t *testing.T) *bench {
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
	b := &bench{g: g, bufs: make(map[wire.RunKey]*stream.Buffer)}
	b.engine = &slowEngine{runs: make(map[wire.RunKey]int), begun: make(chan wire.RunKey, 16), release: make(chan struct{})}
	g.endpoint = &Endpoint{Run: b.engine.run, Alive: func(context.Context) ([]string, error) { return nil, nil }}
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	b.stop, b.ended = cancelStop, make(chan error, 1)
	go func() {
		b.ended <- g.Run(proc.Stages{Stop: stop, Kill: kill})
		close(b.ended)
	}()
	t.Cleanup(func() {
		cancelKill()
		cancelStop()
		for range b.ended {
		}
	})
	b.holder = spread.New(zap.NewNop(), time.Now, nil)
	b.move(t, serving)
	b.local = b.localWith(t, keyHex, "entry-1")
	return b
}

// closedPort returns an address that nothing listens on.
func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// localWith returns a caller with a link key and an incarnation.
func (b *bench) localWith(t *testing.T, hex, incarnation string) *link.Local {
	t.Helper()
	ring, err := seal.NewKeyring([]seal.Key{{ID: "a", Hex: hex}})
	if err != nil {
		t.Fatal(err)
	}
	mux := link.NewMux(func(task func()) error { go task(); return nil }, nil)
	link.On(mux, wire.MethodDelta, b.holder.Serve)
	link.Inline(mux, wire.MethodChunk, func(_ *link.Conn, c wire.Chunk) { _ = b.buf(c.Key).Append(0, c.Offset, c.Data) })
	return &link.Local{Identity: wire.Identity{VM: "e", Role: store.RoleEntry, Incarnation: incarnation}, Keys: ring, Mux: mux, Revision: b.holder.Revision}
}

func (b *bench) buf(key wire.RunKey) *stream.Buffer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bufs[key] == nil {
		b.bufs[key] = stream.New(100)
	}
	return b.bufs[key]
}

// move puts settings in force at the caller.
func (b *bench) move(t *testing.T, text string) {
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
	if err := b.holder.Advance(b.holder.Current().Head.Next(edits, config.Change{}), bodies); err != nil {
		t.Fatal(err)
	}
}

func (b *bench) dial(t *testing.T) *link.Conn {
	t.Helper()
	c, err := b.local.Dial(t.Context(), b.g.LinkAddr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// run asks for a run of version 1 under the given revision.
func (b *bench) run(t *testing.T, c *link.Conn, id string, revision int64) wire.RunReply {
	t.Helper()
	var reply wire.RunReply
	if err := c.Call(context.Background(), wire.MethodRun, b.wanted(id, revision), &reply); err != nil {
		reply.Err = fault.From(err, fault.MayHaveRun)
	}
	return reply
}

// wanted is a run of version 1 under the given revision.
func (b *bench) wanted(id string, revision int64) *wire.Run {
	return &wire.Run{
		Stamp: wire.Stamp{Revision: revision},
		Key:   wire.RunKey{RunID: id, Attempt: 1},
		Guard: b.g.Identity.Incarnation,
		Work:  wire.Work{Call: wire.Call{Workspace: "w", Workload: "l", Model: "m", Deadline: time.Now().Add(20 * time.Second)}, Version: "1", Repeatable: true},
	}
}

// later runs in the background.
func (b *bench) later(t *testing.T, c *link.Conn, id string) <-chan wire.RunReply {
	out := make(chan wire.RunReply, 1)
	go func() { out <- b.run(t, c, id, b.holder.Revision()) }()
	return out
}

func (b *bench) ask(t *testing.T, c *link.Conn, id, guard string, offset int) wire.RunReply {
	t.Helper()
	var reply wire.RunReply
	p := wire.Ask{Key: wire.RunKey{RunID: id, Attempt: 1}, Guard: guard, Offset: offset, Deadline: time.Now().Add(time.Minute)}
	if err := c.Call(t.Context(), wire.MethodAsk, p, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// waitQueued waits until n runs wait in the guard's queue.
func (b *bench) waitQueued(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		b.g.mu.Lock()
		got := b.g.queue.Waiting()
		b.g.mu.Unlock()
		if got == n {
			return
		}
	}
	t.Fatalf("there are not %d waiting runs", n)
}

func check(t *testing.T, what string, got wire.RunReply, kind fault.Kind, run fault.RunState) {
	t.Helper()
	if kind == "" {
		if got.Err != nil {
			t.Errorf("%s: got %v, want a whole answer", what, got.Err)
		}
		return
	}
	if got.Err == nil || got.Err.Kind != kind || got.Err.Run != run {
		t.Errorf("%s: got %v, want %s %s", what, got.Err, kind, run)
	}
}

func TestRunOnce(t *testing.T) {
	b := startBench(t)
	c := b.dial(t)
	first := b.later(t, c, "r")
	key := b.engine.started(t)
	check(t, "the same run again", b.run(t, c, "r", 1), fault.AlreadyRan, fault.MayHaveRun)
	close(b.engine.release)
	check(t, "the first", <-first, "", "")
	check(t, "the same run after its end", b.run(t, c, "r", 1), fault.AlreadyRan, fault.MayHaveRun)
	if got := b.engine.count(key); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

func TestTombstone(t *testing.T) {
	b := startBench(t)
	c := b.dial(t)
	check(t, "asked about a run never seen", b.ask(t, c, "r", b.g.Identity.Incarnation, 0), fault.EndpointLost, fault.NotRun)
	check(t, "the run arrives late", b.run(t, c, "r", 1), fault.EndpointLost, fault.NotRun)
	check(t, "asked of another incarnation", b.ask(t, c, "s", "before", 0), fault.EndpointLost, fault.MayHaveRun)
	if got := len(b.engine.runs); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

// TestOldLink refuses what arrives over a link that the peer has replaced.
func TestOldLink(t *testing.T) {
	b := startBench(t)
	old := b.dial(t)
	fresh := b.dial(t)
	check(t, "over the old link", b.run(t, old, "r", 1), fault.EndpointLost, fault.NotRun)
	close(b.engine.release)
	check(t, "over the new link", b.run(t, fresh, "s", 1), "", "")
}

// TestAskAfterBreak gets the whole answer over a second link.
func TestAskAfterBreak(t *testing.T) {
	b := startBench(t)
	c := b.dial(t)
	lost := b.later(t, c, "r")
	key := b.engine.started(t)
	c.Close()
	if got := (<-lost).Err; got == nil {
		t.Error("the broken link's call: got nil, want an error")
	}
	fresh := b.dial(t)
	close(b.engine.release)
	got := b.ask(t, fresh, "r", b.g.Identity.Incarnation, b.buf(key).Len())
	check(t, "asked", got, "", "")
	if text := string(b.buf(key).Bytes()); text != "answer" || b.engine.count(key) != 1 {
		t.Errorf("got %q after %d runs, want answer after 1", text, b.engine.count(key))
	}
}

// TestAskAfterOwnBill keeps record and answer of a run that the guard has billed
// itself while its link was cut, since the entry may still ask.
func TestAskAfterOwnBill(t *testing.T) {
	b := startBench(t)
	c := b.dial(t)
	lost := b.later(t, c, "r")
	key := b.engine.started(t)
	c.Close()
	<-lost
	close(b.engine.release)
	for held := 0; held == 0; time.Sleep(time.Millisecond) {
		held, _ = b.g.bills.Held()
	}
	b.g.step(time.Now())
	check(t, "asked", b.ask(t, b.dial(t), "r", b.g.Identity.Incarnation, b.buf(key).Len()), "", "")
	if text := string(b.buf(key).Bytes()); text != "answer" {
		t.Errorf("got %q, want answer", text)
	}
}

// TestOrphan never starts a queued run whose link broke.
func TestOrphan(t *testing.T) {
	b := startBench(t)
	keep, lose := b.dial(t), (*link.Conn)(nil)
	first := b.later(t, keep, "first")
	b.engine.started(t)
	b.local = b.localWith(t, keyHex, "entry-2")
	lose = b.dial(t)
	lost := b.later(t, lose, "orphan")
	b.waitQueued(t, 1)
	b.g.mu.Lock()
	noticed := b.g.links["entry-2"].conn.Done()
	b.g.mu.Unlock()
	lose.Close()
	<-lost
	<-noticed
	close(b.engine.release)
	check(t, "the first", <-first, "", "")
	check(t, "asked about the orphan", b.ask(t, b.dial(t), "orphan", b.g.Identity.Incarnation, 0), fault.EndpointLost, fault.NotRun)
	if got := b.engine.count(wire.RunKey{RunID: "orphan", Attempt: 1}); got != 0 {
		t.Errorf("runs of the orphan: got %d, want 0", got)
	}
}

// guardLink returns the guard's side of the link of an incarnation.
func (b *bench) guardLink(incarnation string) *link.Conn {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	return b.g.links[incarnation].conn
}

// TestOrphanAdopted holds that a run whose link broke while it waited is closed as
// soon as its slot comes free: an entry that asks for it at that moment finds it
// closed, and does not bring it back to life.
func TestOrphanAdopted(t *testing.T) {
	b := startBench(t)
	first := b.later(t, b.dial(t), "first")
	b.engine.started(t)
	b.local = b.localWith(t, keyHex, "entry-2")
	lose := b.dial(t)
	owner := b.guardLink("entry-2")
	orphan := b.enter(t, owner, "orphan")
	lose.Close()
	<-owner.Done()
	close(b.engine.release)
	check(t, "the first", <-first, "", "")
	b.dial(t)
	adopted, _ := b.g.lookUp(b.guardLink("entry-2"), &wire.Ask{Key: orphan.key, Guard: b.g.Identity.Incarnation})
	if adopted != orphan {
		t.Fatalf("record found: got %v, want the orphan's", adopted)
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	if orphan.phase != phaseTombstone {
		t.Fatalf("the orphan is %s, want it closed when its slot came free", orphan.phase)
	}
	check(t, "the orphan", orphan.reply, fault.EndpointLost, fault.NotRun)
}

// enter offers a run to the guard without anyone who waits for it.
func (b *bench) enter(t *testing.T, c *link.Conn, id string) *record {
	t.Helper()
	r, refused := b.g.enter(c, b.wanted(id, b.holder.Revision()))
	if refused != nil {
		t.Fatal(refused)
	}
	return r
}

// TestWithdrawn holds that a withdrawn version gets no new work, whether the
// entry or the guard hears of it first, and that running work may finish.
func TestWithdrawn(t *testing.T) {
	b := startBench(t)
	c := b.dial(t)
	running := b.later(t, c, "running")
	b.engine.started(t)
	queued := b.later(t, c, "queued")
	b.waitQueued(t, 1)
	b.move(t, withdrawn)
	check(t, "from an entry with newer settings", b.run(t, c, "newer", 2), fault.VersionWithdrawn, fault.NotRun)
	check(t, "queued before", <-queued, fault.VersionWithdrawn, fault.NotRun)
	got := b.run(t, c, "older", 1)
	check(t, "from an entry with older settings", got, fault.VersionWithdrawn, fault.NotRun)
	if got.Revision != 2 {
		t.Errorf("revision in the refusal: got %d, want 2", got.Revision)
	}
	close(b.engine.release)
	check(t, "running before", <-running, "", "")
}

// TestLeaving refuses queued and new work as not run and lets running work
// finish.
func TestLeaving(t *testing.T) {
	b := startBench(t)
	c := b.dial(t)
	running := b.later(t, c, "running")
	b.engine.started(t)
	queued := b.later(t, c, "queued")
	b.waitQueued(t, 1)
	b.g.leave()
	check(t, "queued", <-queued, fault.Stopping, fault.NotRun)
	check(t, "new", b.run(t, c, "new", 1), fault.Stopping, fault.NotRun)
	close(b.engine.release)
	check(t, "running", <-running, "", "")
}

// TestStopWaitsForEntries keeps a stopping guard there to refuse work until the
// entry says that it has no run there and will send none.
func TestStopWaitsForEntries(t *testing.T) {
	b := startBench(t)
	c := b.dial(t)
	beat := func(released bool) (wire.BeatReply, error) {
		var reply wire.BeatReply
		return reply, c.Call(t.Context(), wire.MethodBeat, wire.Beat{Released: released}, &reply)
	}
	if _, err := beat(false); err != nil {
		t.Fatal(err)
	}
	b.stop()
	for range 40 {
		if _, err := beat(false); err != nil {
			t.Fatalf("the guard went before the entry knew: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	check(t, "a run that was sent meanwhile", b.run(t, c, "late", 1), fault.Stopping, fault.NotRun)
	_, _ = beat(true)
	select {
	case err := <-b.ended:
		if err != nil {
			t.Errorf("end: got %v, want nil", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the guard does not end")
	}
}

// TestLinkKey lets nobody in without the link key.
func TestLinkKey(t *testing.T) {
	b := startBench(t)
	stranger := b.localWith(t, "ffffffffffffffffffffffffffffffff", "stranger")
	if _, err := stranger.Dial(t.Context(), b.g.LinkAddr()); !errors.Is(err, link.ErrProof) {
		t.Errorf("with another key: got %v, want %v", err, link.ErrProof)
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	if got := len(b.g.links); got != 0 {
		t.Errorf("links: got %d, want 0", got)
	}
}
