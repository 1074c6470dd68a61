// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package desk

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/internal/link"
	"github.com/traildrift/traildrift/internal/store"
	"github.com/traildrift/traildrift/internal/tasks"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/seal"
)

// pollInterval is the time between two queries of all processes in Wait.
const pollInterval = config.Span(100 * time.Millisecond)

// Wait polls the processes of all live VMs until each has the given revision of the settings, or a
// newer one, in force. If ctx is done before, it returns an error that lists the VMs whose process
// has an older one or does not answer, or the error of reading the VM list.
func Wait(ctx context.Context, vms *store.VMs, keys *seal.Keyring, revision int64) error {
	local := operatorLocal(keys)
	for {
		lagging, err := laggingVMs(ctx, local, vms, revision)
		if err == nil && len(lagging) == 0 {
			return nil
		}
		tasks.Pause(ctx, pollInterval.After(time.Now()))
		if ctx.Err() != nil {
			if err != nil {
				return errors.Wrap(err, "the VM list could not be read")
			}
			return errors.Newf("revision %d is not in force at: %s", revision, strings.Join(lagging, ", "))
		}
	}
}

// operatorLocal returns the local side of links that an operator's command opens to processes. It
// serves no methods and has no settings, so its revision is 0.
func operatorLocal(keys *seal.Keyring) *link.Local {
	return &link.Local{
		Identity: wire.Identity{VM: "operator", Role: "operator", Incarnation: fmt.Sprintf("operator-%d", time.Now().UnixNano())},
		Keys:     keys,
		Revision: func() int64 { return 0 },
		Mux:      link.NewMux(func(task func()) error { task(); return nil }, nil),
	}
}

// laggingVMs returns the names, sorted, of the live VMs whose process has an older revision in force
// or does not answer.
func laggingVMs(ctx context.Context, local *link.Local, vms *store.VMs, revision int64) ([]string, error) {
	list, err := vms.List(ctx)
	if err != nil {
		return nil, err
	}
	var lagging []string
	for _, vm := range list {
		if vm.State != store.VMLive {
			continue
		}
		if reported, ok := fetchRevision(ctx, local, vm); !ok || reported < revision {
			lagging = append(lagging, vm.Name)
		}
	}
	slices.Sort(lagging)
	return lagging, nil
}

// fetchRevision queries the process of a VM for the revision that it has in force. It returns false
// if the process does not answer.
func fetchRevision(ctx context.Context, local *link.Local, vm store.VM) (int64, bool) {
	c, err := local.Dial(ctx, vm.Link)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	var reply wire.DeltaReply
	err = c.Call(ctx, wire.MethodDelta, wire.Delta{Hashes: []string{""}}, &reply)
	return reply.Revision, err == nil
}

// VMStatus is the status of a VM and its process.
type VMStatus struct {
	VM store.VM
	// Answered says that the VM's process has answered. Revision is the revision of the settings
	// that it has in force, 0 if it has not answered.
	Answered bool
	Revision int64
}

// RevisionText returns the last column of the status table: the revision, or that the process does
// not answer.
func (r VMStatus) RevisionText() string {
	if !r.Answered {
		return "does not answer"
	}
	return fmt.Sprintf("revision %d", r.Revision)
}

// Status queries the process of every VM, one after the other, for the revision that it has in
// force. It returns an error only if the VM list cannot be read.
func Status(ctx context.Context, vms *store.VMs, keys *seal.Keyring) ([]VMStatus, error) {
	list, err := vms.List(ctx)
	if err != nil {
		return nil, err
	}
	local := operatorLocal(keys)
	rows := make([]VMStatus, len(list))
	for i, vm := range list {
		rows[i].VM = vm
		rows[i].Revision, rows[i].Answered = fetchRevision(ctx, local, vm)
	}
	return rows, nil
}
