// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package elems decodes JSON that others write, so that one bad element of a list costs that element alone.
//
// encoding/json rejects a whole text for one value of the wrong type, and for one that is nested too deeply. Of a list
// of independent objects with several writers, all readers would then lose all objects for a fault of one writer.
package elems
