// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/pkg/roll"
)

// maxDatagramBytes bounds what routers send each other in one datagram, in bytes: it passes
// any link in one piece.
const maxDatagramBytes = 1400

// trialReportHead begins an encoded report; the entries of its routes and its faults follow.
type trialReportHead struct {
	Trial, Reporter   uint64
	Requests, Exposed uint32
	Routes, Faults    uint8
}

// encodeTrialReport appends a report. It fails for one with more entries than a report may
// have.
func encodeTrialReport(dst []byte, r roll.Report) ([]byte, error) {
	if len(r.Routes) > roll.MaxRows || len(r.Faults) > roll.MaxFaults {
		return dst, errors.Newf("peers: a report of %d routes and %d faults", len(r.Routes), len(r.Faults))
	}
	h := trialReportHead{r.Trial, r.Reporter, r.Requests, r.Exposed, uint8(len(r.Routes)), uint8(len(r.Faults))}
	var err error
	for _, part := range []any{h, r.Routes, r.Faults} {
		if dst, err = binary.Append(dst, binary.BigEndian, part); err != nil {
			return dst, errors.Wrap(err, "peers")
		}
	}
	return dst, nil
}

// decodeTrialReport decodes what encodeReport encoded.
func decodeTrialReport(b []byte) (roll.Report, error) {
	var h trialReportHead
	in := bytes.NewReader(b)
	if err := binary.Read(in, binary.BigEndian, &h); err != nil {
		return roll.Report{}, errors.Wrap(err, "peers")
	}
	if h.Routes > roll.MaxRows || h.Faults > roll.MaxFaults {
		return roll.Report{}, errors.Newf("peers: a report of %d routes and %d faults", h.Routes, h.Faults)
	}
	r := roll.Report{Trial: h.Trial, Reporter: h.Reporter, Requests: h.Requests, Exposed: h.Exposed,
		Routes: make([]roll.RouteCounts, h.Routes), Faults: make([]roll.FaultCounts, h.Faults)}
	for _, part := range []any{r.Routes, r.Faults} {
		if err := binary.Read(in, binary.BigEndian, part); err != nil {
			return roll.Report{}, errors.Wrap(err, "peers")
		}
	}
	if in.Len() > 0 {
		return roll.Report{}, errors.Newf("peers: %d bytes after a report", in.Len())
	}
	return r, nil
}
