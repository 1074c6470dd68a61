// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package quota

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// house is an account with one door and a clock that the test sets.
type house struct {
	t      *testing.T
	a      *Account
	d      *Door
	now    time.Time
	events map[What]int
}

func newHouse(t *testing.T, maxBytes int64, maxConns int) *house {
	h := &house{t: t, a: NewAccount("callers", maxBytes), now: time.Now(), events: make(map[What]int)}
	h.a.Now = func() time.Time { return h.now }
	h.a.OnEvent = func(e Event) { h.events[e.What]++ }
	d, err := h.a.Listen("127.0.0.1:0", Options{Name: "callers", MaxConns: maxConns, Refusal: HTTPRefusal()})
	if err != nil {
		t.Fatal(err)
	}
	h.d = d
	t.Cleanup(func() { _ = d.Close() })
	return h
}

// open opens a connection and returns both of its ends.
func (h *house) open() (in *Conn, out net.Conn) {
	h.t.Helper()
	out, err := net.Dial("tcp", h.d.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	_ = out.SetDeadline(time.Now().Add(10 * time.Second))
	c, err := h.d.Accept()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		_ = c.Close()
		_ = out.Close()
	})
	return Of(c), out
}

// sendHead sends text, which the connection reads.
func (h *house) sendHead(in *Conn, out net.Conn, text string) error {
	h.t.Helper()
	if _, err := io.WriteString(out, text); err != nil {
		h.t.Fatal(err)
	}
	_, err := io.ReadFull(in, make([]byte, len(text)))
	return err
}

func (h *house) check(what string, want int) {
	h.t.Helper()
	if got := h.events[What(what)]; got != want {
		h.t.Errorf("%s: got %d, want %d; all: %v", what, got, want, h.events)
	}
}

// isClosed reports whether the other side has closed a connection.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := io.Copy(io.Discard, c)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against a caller that takes all of the memory, and against a full account in which a small request finds none.
func TestHoldsAsMuchAsItLeavesFree(t *testing.T) {
	const mb = 1 << 20
	h := newHouse(t, 16*mb, 100)
	var granted int
	for range 20 {
		c, _ := h.open()
		if c.Grant(mb) == nil {
			granted++
		}
	}
	// A quarter is left by bodies, and connections take a part.
	if granted != 11 {
		t.Errorf("bodies of 1 MB in 16 MB: got %d, want 11", granted)
	}
	c, _ := h.open()
	if err := c.BeginService(); err != nil {
		t.Errorf("a request that was read whole: got %v, want no error", err)
	}
	if c.Grant(9*mb) == nil {
		t.Error("a body of more than half of the account: got a grant, want none")
	}
}

// Guards against ordinary callers that are refused for the sake of those who hold memory without progress, and against
// requests at work that lose their memory.
func TestStalledGiveWayForMemory(t *testing.T) {
	const mb = 1 << 20
	h := newHouse(t, 8*mb, 100)
	atWork, _ := h.open()
	atWork.Begin()
	stalled, out := h.open()
	if err := h.sendHead(stalled, out, "POST / HTTP/1.1\r\nContent-Length: 2097152\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	stalled.Begin()
	got := make(chan error, 1)
	began := make(chan struct{})
	go func() {
		close(began)
		_, err := stalled.ReadBody(stalled, Body{Length: 2 * mb, MaxBytes: 2 * mb, Copies: 1})
		got <- err
	}()
	<-began
	for h.a.UsedBytes() < 2*mb {
		time.Sleep(time.Millisecond)
	}
	c, _ := h.open()
	if err := c.Grant(3 * mb); !errors.Is(err, ErrNoMemory) {
		t.Errorf("before the other has stalled: got %v, want %v", err, ErrNoMemory)
	}
	h.a.mu.Lock()
	h.now = h.now.Add(2 * stallTime)
	h.a.mu.Unlock()
	if err := c.Grant(3 * mb); err != nil {
		t.Errorf("once the other has stalled: got %v, want no error", err)
	}
	if err := <-got; !errors.Is(err, ErrNoMemory) {
		t.Errorf("the stalled body: got %v, want %v", err, ErrNoMemory)
	}
	if err := atWork.BeginService(); err != nil {
		t.Errorf("the request at work: got %v, want no error", err)
	}
	h.check("evictedBody", 1)
}

// Guards against silent and resting connections that shut others out, and against a fresh connection that is closed
// before its request can come.
func TestOldestGivesWayForNewConnections(t *testing.T) {
	h := newHouse(t, 0, 3)
	h.d.maxConns = 3
	first, firstOut := h.open()
	_, secondOut := h.open()
	third, thirdOut := h.open()
	first.Begin()
	h.now = h.now.Add(time.Second)
	if err := h.sendHead(third, thirdOut, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	h.now = h.now.Add(minRoomTime / 2)
	h.open()
	if !isClosed(secondOut) || isClosed(thirdOut) || isClosed(firstOut) {
		t.Errorf("closed: got %v, %v, %v; want the silent one only", isClosed(firstOut), isClosed(secondOut), isClosed(thirdOut))
	}
	h.check("evictedIdle", 1)
	h.now = h.now.Add(minRoomTime)
	h.open()
	if !isClosed(thirdOut) {
		t.Error("the connection with a part of a head: got it open, want it closed")
	}
	h.check("evictedHead", 1)
	if isClosed(firstOut) {
		t.Error("the connection in service: got it closed, want it open")
	}
}

// Guards against a connection that is refused without a word where all others are at work, or that waits in vain.
func TestRefusesWhileAllAreAtWork(t *testing.T) {
	h := newHouse(t, 0, 1)
	c, _ := h.open()
	c.Begin()
	out, err := net.Dial("tcp", h.d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	go func() { _, _ = h.d.Accept() }()
	_ = out.SetDeadline(time.Now().Add(10 * time.Second))
	text, _ := io.ReadAll(out)
	for _, want := range []string{"HTTP/1.1 503 ", "Retry-After: 0.500\r\n", "Connection: close\r\n", "notRun"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("refusal: got %q, want one with %q", text, want)
		}
	}
	if !c.GivesWay() {
		t.Error("the connection at work: got it kept after its request, want it closed")
	}
}

// Guards against heads of many short fields, whole or not, that take more memory than their bytes.
func TestHeadsAreCharged(t *testing.T) {
	h := newHouse(t, 1<<20, 10)
	c, out := h.open()
	before := h.a.UsedBytes()
	const n = 100
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", n)
	if err := h.sendHead(c, out, head); err != nil {
		t.Fatal(err)
	}
	want := int64(2*len(head) + (n+1)*LineBytes)
	if got := h.a.UsedBytes() - before; got != want {
		t.Errorf("a part of a head: got %d bytes charged, want %d", got, want)
	}
	if err := h.sendHead(c, out, "\r\n"); err != nil {
		t.Fatal(err)
	}
	c.Begin()
	c.End(0, false)
	c.Rest()
	if got := h.a.UsedBytes(); got != before {
		t.Errorf("after the request: got %d bytes charged, want %d", got, before)
	}
	other, otherOut := h.open()
	err := h.sendHead(other, otherOut, strings.Repeat("a:\r\n", 1500))
	if !errors.Is(err, ErrNoMemory) {
		t.Errorf("a head for which there is no memory: got %v, want %v", err, ErrNoMemory)
	}
	_ = other.Close()
	if text, _ := io.ReadAll(otherOut); !strings.HasPrefix(string(text), "HTTP/1.1 503 ") {
		t.Errorf("its answer: got %q, want status 503", text)
	}
}

// Guards against heads that are read ahead with an earlier request, and are not charged.
func TestReadAheadStaysCharged(t *testing.T) {
	h := newHouse(t, 1<<20, 10)
	c, out := h.open()
	before := h.a.UsedBytes()
	ahead := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 50)
	if err := h.sendHead(c, out, "GET / HTTP/1.1\r\n\r\n"+ahead); err != nil {
		t.Fatal(err)
	}
	c.Begin()
	c.End(0, false)
	c.Rest()
	if got, want := h.a.UsedBytes()-before, lineCost([]byte(ahead)); got != want {
		t.Errorf("read ahead: got %d bytes charged, want %d", got, want)
	}
	// The next request was read with the first.
	c.Begin()
	c.End(0, false)
	c.Rest()
	if got, want := h.a.UsedBytes()-before, lineCost([]byte(ahead)); got != want {
		t.Errorf("read ahead, after another request: got %d bytes charged, want %d", got, want)
	}
	_ = c.Close()
	if got := h.a.UsedBytes(); got != before-ConnBytes {
		t.Errorf("after the end: got %d bytes charged, want %d", got, before-ConnBytes)
	}
}

// Guards against the rest of a refused request that is charged as a head, and against memory that a refused request keeps
// until its connection is closed.
func TestRefusedRequestGivesBack(t *testing.T) {
	h := newHouse(t, 1<<20, 2)
	c, out := h.open()
	before := h.a.UsedBytes()
	if err := h.sendHead(c, out, "POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c.Begin()
	if err := c.Grant(9000); err != nil {
		t.Fatal(err)
	}
	c.End(9000, true)
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := h.sendHead(c, out, strings.Repeat("a:\r\n", 1000)); err != nil {
		t.Errorf("the rest of the body: got %v, want no error", err)
	}
	if got := h.a.UsedBytes(); got != before {
		t.Errorf("after the refusal: got %d bytes charged, want %d", got, before)
	}
	h.open()
	h.open()
	if !isClosed(out) {
		t.Error("the refused connection: got it open, want it closed for another")
	}
	h.check("evictedClosing", 1)
}

// Guards against callers that take nothing of their answers and keep their connections.
func TestUnreadAnswerGivesWay(t *testing.T) {
	h := newHouse(t, 0, 1)
	c, _ := h.open()
	c.Begin()
	got := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		got <- err
	}()
	for {
		h.a.mu.Lock()
		waits := h.a.stages[answer].Len() == 1
		if waits {
			h.now = h.now.Add(time.Second)
		}
		h.a.mu.Unlock()
		if waits {
			break
		}
		time.Sleep(time.Millisecond)
	}
	h.open()
	if err := <-got; err == nil {
		t.Error("writing: got no error, want one")
	}
	h.check("evictedAnswer", 1)
}

// failing is a listener whose first Accept fails for want of descriptors.
type failing struct {
	net.Listener
	failed bool
}

func (f *failing) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", unix.EMFILE)}
	}
	return f.Listener.Accept()
}

// Guards against a server that ends for good as descriptors run out.
func TestAcceptGoesOnWithoutDescriptors(t *testing.T) {
	h := newHouse(t, 0, 4)
	_, out := h.open()
	h.now = h.now.Add(time.Second)
	h.d.Listener = &failing{Listener: h.d.Listener}
	h.open()
	if !isClosed(out) {
		t.Error("the silent connection: got it open, want it closed for its descriptor")
	}
}

// Guards against limits that callers meet who keep to the users' limits, on the smallest machines of their sites.
func TestLimitsOfSmallestMachines(t *testing.T) {
	const largestBody = 4 << 20
	for _, s := range []Settings{{MemoryMB: 88, Descriptors: 4100}, {MemoryMB: 120, Descriptors: 3075}} {
		l := s.Limits()
		if raised := (Settings{MemoryMB: s.MemoryMB, CallersConns: 2000}).Limits().Callers; raised != 2000 {
			t.Errorf("%+v: got %d connections, want the 2,000 that were set", s, raised)
		}
		// 333 callers of the largest availability zone of a site, each with a connection, at one router.
		if l.Callers < 333 {
			t.Errorf("%+v: got %d connections, want 333 or more", s, l.Callers)
		}
		a := NewAccount("callers", l.CallersBytes)
		c := &Conn{door: &Door{a: a}, stage: service}
		r := io.LimitReader(zeroes{}, largestBody)
		for _, length := range []int64{largestBody, -1} {
			a.usedBytes, c.heldBytes = 0, 0
			if _, err := c.ReadBody(r, Body{Length: length, MaxBytes: largestBody, Copies: 1}); err != nil {
				t.Errorf("%+v: a body of the largest size, length %d: got %v, want no error", s, length, err)
			}
			r = io.LimitReader(zeroes{}, largestBody)
		}
	}
}

// zeroes is a reader without end.
type zeroes struct{}

func (zeroes) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a share of the descriptors that leaves none for endpoints, other processes and the store.
func TestDescriptorsAreShared(t *testing.T) {
	for _, fds := range []int{64, 400, 1024, 3075, 4100} {
		l := Settings{MemoryMB: 1000, Descriptors: fds}.Limits()
		// Each request in service has a connection to an endpoint.
		if left := fds - 2*l.Callers - l.Peers - 2*l.Few; left < fds/16 {
			t.Errorf("%d descriptors: got %+v, which leaves %d, want %d or more", fds, l, left, fds/16)
		}
	}
}
