// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// burstClients is the number of clients that look something up on a connection that they keep, with lookupPause after
	// each answer: 160 requests a second.
	burstClients = 48
	lookupPause  = 300 * time.Millisecond
	// Each wavePeriod waveStreams streams begin: all at once in a burst, and evenly otherwise.
	waveStreams = 700
	wavePeriod  = 8 * time.Second
	waves       = 5
	// slowPieces and slowPause describe a stream of 5 s.
	slowPieces = 64
	slowPause  = 80 * time.Millisecond
	streamBody = 2400
)

// streamSums counts what became of streams.
type streamSums struct {
	begun, underWay, whole, broken, refused atomic.Int64
}

// playBurst plays sound clients only: some who look something up on kept connections, and others who ask for long streams, of
// which more come for some seconds.
func playBurst(s *stage) (broken int, err error) {
	cfg := configuration()
	cfg["routes"] = append(cfg["routes"].([]route), route{Name: "lookup", Host: host, Prefix: "/unsafe/", Service: service, Kind: "unsafe", TimeoutMs: 1_400, AimMs: 100, MaxAttempts: 1})
	s.store.put("config", "main", cfg)
	var ran sync.Map
	for i := range 2 * rebornRunners {
		id, addr := fmt.Sprint("i-", i+1), freeAddr()
		p, err := startRunner(id, addr, func(request string) { ran.Store(request, true) })
		if err != nil {
			return 0, err
		}
		s.add(p.process)
		s.list(id, addr)
	}
	r, err := startRouter(s.dir, "front-1", "zone-a", s.store.addr(), kstMapview)
	if r != nil && r.process != nil {
		s.add(r.process)
	}
	if err != nil {
		return 0, err
	}
	time.Sleep(contactTime)
	ctx, cancel := context.WithTimeout(context.Background(), (waves+1)*wavePeriod)
	defer cancel()
	var lookups crowdSums
	var streams streamSums
	var clients sync.WaitGroup
	for i := range burstClients {
		clients.Go(func() {
			k := &keeper{r: r}
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("lookup-%d-%d", i, n)
				s.count(&lookups, id, k.fetch(id), &ran)
				time.Sleep(lookupPause)
			}
		})
	}
	s.arrivals(ctx, r, &streams, &clients)
	clients.Wait()
	s.line("streams: %d begun, %d whole, %d refused, %d ended early", streams.begun.Load(), streams.whole.Load(), streams.refused.Load(), streams.broken.Load())
	s.line("lookups: %d answered, %d refused or failed, %d without a run or an answer", lookups.answered.Load(), lookups.refused.Load(), lookups.unanswered.Load())
	s.line("lookups that were run, and whose connection ended without an answer: %d on kept connections, %d on new ones", lookups.keptLost.Load(), lookups.newLost.Load())
	select {
	case <-r.ended:
		return 0, errors.New("the router has ended")
	default:
	}
	return int(max(lookups.keptLost.Load()-maxLost, 0)), nil
}

// arrivals begins streams until ctx is done.
func (s *stage) arrivals(ctx context.Context, r *routerProcess, sums *streamSums, clients *sync.WaitGroup) {
	for ctx.Err() == nil {
		s.line("%d streams begin, %d are under way", waveStreams, sums.underWay.Load())
		began := time.Now()
		for i := range waveStreams {
			id := fmt.Sprintf("stream-%d", sums.begun.Add(1))
			clients.Go(func() {
				if !s.trouble {
					time.Sleep(time.Duration(i) * wavePeriod / waveStreams)
				}
				sums.underWay.Add(1)
				defer sums.underWay.Add(-1)
				askSlowly(r, id, sums)
			})
		}
		select {
		case <-time.After(wavePeriod - time.Since(began)):
		case <-ctx.Done():
		}
	}
}

// askSlowly asks for a long stream on a connection of its own, and counts what becomes of it.
func askSlowly(r *routerProcess, id string, sums *streamSums) {
	c, err := net.DialTimeout("tcp", r.http, time.Second)
	if err != nil {
		sums.refused.Add(1)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(25 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /stream/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 25000\r\nAuthorization: Bearer %s\r\n%s: m0\r\n%s: 2368,384\r\n%s: a1:568,%x:1800\r\n%s: %d\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, host, headerID, id, headerDeadline, apiKey, headerModel, headerTokens, headerPrefix, id, headerPieces, slowPieces, headerPauseMs, slowPause.Milliseconds(), streamBody, strings.Repeat("p", streamBody))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil || resp.StatusCode != http.StatusOK {
		sums.refused.Add(1)
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		sums.broken.Add(1)
		return
	}
	sums.whole.Add(1)
}
