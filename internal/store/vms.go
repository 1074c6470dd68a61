// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package store

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/elems"
)

// Roles of a VM.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
)

// States of a VM.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is an entry of the platform's VM list. The list may be out of date.
type VM struct {
	Name             string `json:"name" yaml:"name"`
	Role             string `json:"role" yaml:"role"`
	AvailabilityZone string `json:"availabilityZone" yaml:"availabilityZone"`
	// Pool names the pool of an endpoint VM.
	Pool string `json:"pool,omitempty" yaml:"pool,omitempty"`
	// Link is the address at which the traildrift process on the VM listens for its peers.
	Link  netip.AddrPort `json:"link" yaml:"link"`
	State string         `json:"state" yaml:"state"`
}

// VMs is a client of the platform's VM list. Tests replace its function.
type VMs struct {
	// List returns all VMs but those that can't be decoded, or ErrUnavailable.
	List func(ctx context.Context) ([]VM, error)
	// OnUnreadable is called for each VM that can't be decoded; name is empty if that can't be read either.
	OnUnreadable func(name string, err error)
}

// NewVMs returns a client of the VM list at addr.
func NewVMs(addr netip.AddrPort) *VMs {
	h := &httpClient{base: "http://" + addr.String(), conns: newConnSet()}
	h.http = &fasthttp.HostClient{Addr: addr.String(), Dial: h.conns.dial}
	v := &VMs{OnUnreadable: func(string, error) {}}
	v.List = func(ctx context.Context) ([]VM, error) {
		list, err := h.vms(ctx)
		for _, b := range list.Bad {
			var named struct {
				Name string `json:"name"`
			}
			_ = json.Unmarshal(b.Text, &named)
			v.OnUnreadable(named.Name, b.Err)
		}
		return list.Items, err
	}
	return v
}

func (h *httpClient) vms(ctx context.Context) (elems.List[VM], error) {
	var out elems.List[VM]
	err := h.do(ctx, func(req *fasthttp.Request) {
		req.SetRequestURI(h.base + "/v1/vms")
	}, func(resp *fasthttp.Response) error {
		return readJSON(resp, &out)
	})
	return out, readOnly(err)
}

// readJSON decodes the body of a response. It returns ErrUnavailable if the body is malformed.
func readJSON(resp *fasthttp.Response, dst any) error {
	if err := statusError(resp.StatusCode()); err != nil {
		return err
	}
	if err := elems.Unmarshal(resp.Body(), dst); err != nil {
		return ErrUnavailable
	}
	return nil
}
