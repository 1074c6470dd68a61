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

// pollInterval is how often processes that lag are asked again.
const pollInterval = config.Span(100 * time.Millisecond)

// Wait returns once every live VM's process reports the revision, or an error
// that names those that do not by the deadline of ctx.
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
				return errors.Wrap(err, "the VM list does not answer")
			}
			return errors.Newf("revision %d is not in force at: %s", revision, strings.Join(lagging, ", "))
		}
	}
}

// operatorLocal returns an operatorLocal's side of links.
func operatorLocal(keys *seal.Keyring) *link.Local {
	return &link.Local{
		Identity: wire.Identity{VM: "operator", Role: "operator", Incarnation: fmt.Sprintf("operator-%d", time.Now().UnixNano())},
		Keys:     keys,
		Revision: func() int64 { return 0 },
		Mux:      link.NewMux(func(task func()) error { task(); return nil }, nil),
	}
}

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

// fetchRevision asks a VM's process for its revision.
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

// VMStatus is what status shows of a VM.
type VMStatus struct {
	VM store.VM
	// Answered says that the VM's process has answered; Revision is its own.
	Answered bool
	Revision int64
}

// RevisionText returns the row's last column.
func (r VMStatus) RevisionText() string {
	if !r.Answered {
		return "does not answer"
	}
	return fmt.Sprintf("revision %d", r.Revision)
}

// Status asks the process of every VM for its revision.
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
