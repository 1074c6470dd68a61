// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package elems

import (
	"sync"

	"go.uber.org/zap"
)

// maxReported is the maximum number of objects that a Reporter remembers. Further ones are not logged.
const maxReported = 1000

// maxReportText is the maximum length of the error in a line, in bytes: an object may have thousands of bad elements.
const maxReportText = 1 << 10

// Reporter logs each object that can't be decoded once, until it can be again. It is safe for concurrent use once Log is
// set.
type Reporter struct {
	Log *zap.Logger
	mu  sync.Mutex
	// logged holds the errors, by kind and name; by kind and error for those without a name.
	logged map[[2]string]string
}

// Report logs an object, unless it was logged with this error. name is empty if it can't be read.
func (r *Reporter) Report(kind, name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := err.Error()
	text = text[:min(len(text), maxReportText)]
	key := [2]string{kind, name}
	if name == "" {
		key[1] = text
	}
	known, ok := r.logged[key]
	if ok && known == text || !ok && len(r.logged) >= maxReported {
		return
	}
	if r.logged == nil {
		r.logged = make(map[[2]string]string)
	}
	r.logged[key] = text
	r.Log.Error("elems: An object that others wrote could not be decoded; it alone is left out.", zap.String("kind", kind), zap.String("name", name), zap.String("error", text))
}

// Forget lets an object be logged again, as it could be decoded or is gone.
func (r *Reporter) Forget(kind, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.logged, [2]string{kind, name})
}
