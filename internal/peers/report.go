// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package peers

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/traildrift/traildrift/pkg/roll"
)

// maxDatagramBytes is the maximum length of a datagram: one of this length is not fragmented on any
// link.
const maxDatagramBytes = 1400

// trialReportHead is the fixed part of an encoded roll.Report. The counts of its routes and its
// faults follow.
type trialReportHead struct {
	Trial, Reporter   uint64
	Requests, Exposed uint32
	Routes, Faults    uint8
}

// encodeTrialReport appends the encoding of a report to dst. It fails if the report has more than
// roll.MaxRows routes or roll.MaxFaults faults.
func encodeTrialReport(dst []byte, r roll.Report) ([]byte, error) {
	if len(r.Routes) > roll.MaxRows || len(r.Faults) > roll.MaxFaults {
		return dst, errors.Newf("peers: trial report has too many entries: %d routes and %d faults", len(r.Routes), len(r.Faults))
	}
	h := trialReportHead{r.Trial, r.Reporter, r.Requests, r.Exposed, uint8(len(r.Routes)), uint8(len(r.Faults))}
	var err error
	for _, part := range []any{h, r.Routes, r.Faults} {
		if dst, err = binary.Append(dst, binary.BigEndian, part); err != nil {
			return dst, errors.Wrap(err, "peers: encode trial report")
		}
	}
	return dst, nil
}

// decodeTrialReport decodes what encodeTrialReport encoded. It fails if the data is truncated or
// has too many entries or extra bytes.
func decodeTrialReport(b []byte) (roll.Report, error) {
	var h trialReportHead
	in := bytes.NewReader(b)
	if err := binary.Read(in, binary.BigEndian, &h); err != nil {
		return roll.Report{}, errors.Wrap(err, "peers: decode head of trial report")
	}
	if h.Routes > roll.MaxRows || h.Faults > roll.MaxFaults {
		return roll.Report{}, errors.Newf("peers: trial report has too many entries: %d routes and %d faults", h.Routes, h.Faults)
	}
	r := roll.Report{Trial: h.Trial, Reporter: h.Reporter, Requests: h.Requests, Exposed: h.Exposed,
		Routes: make([]roll.RouteCounts, h.Routes), Faults: make([]roll.FaultCounts, h.Faults)}
	for _, part := range []any{r.Routes, r.Faults} {
		if err := binary.Read(in, binary.BigEndian, part); err != nil {
			return roll.Report{}, errors.Wrap(err, "peers: decode entries of trial report")
		}
	}
	if in.Len() > 0 {
		return roll.Report{}, errors.Newf("peers: trial report is followed by %d extra bytes", in.Len())
	}
	return r, nil
}
