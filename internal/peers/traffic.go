// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/pkg/config"
)

// Traffic counts the bytes that this router sent to other routers, without the headers of HTTP and
// of the network: as datagrams by kind, and as pull requests and the responses to those of peers.
// Quarantines counts crash reports, verdicts and state queries, Notices also limit queries. The
// zero value is ready for use.
type Traffic struct {
	AttemptReports, TrialReports, Quarantines, Notices, Usage, PullRequests, PullResponses atomic.Int64
}

// logInterval is the interval between log lines.
const logInterval = config.Span(10 * time.Second)

// Run logs the bytes sent since the last line, and resets the counts, every logInterval until ctx
// is done.
func (t *Traffic) Run(ctx context.Context, log *zap.Logger) error {
	for ctx.Err() == nil {
		tasks.Pause(ctx, logInterval.After(time.Now()))
		log.Info("peers: Bytes were sent to other routers.", zap.Int64("notesBytes", t.AttemptReports.Swap(0)), zap.Int64("reportsBytes", t.TrialReports.Swap(0)), zap.Int64("crashesBytes", t.Quarantines.Swap(0)), zap.Int64("noticesBytes", t.Notices.Swap(0)), zap.Int64("usageBytes", t.Usage.Swap(0)),
			zap.Int64("questionsBytes", t.PullRequests.Swap(0)), zap.Int64("answersBytes", t.PullResponses.Swap(0)))
	}
	return nil
}

// countingWriter adds the bytes of a response body to n.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.n.Add(int64(n))
	return n, err
}
