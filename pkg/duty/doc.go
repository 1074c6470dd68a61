// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package duty elects the one router of many that performs duties which only one router at a
// time may perform, such as the reports of usage to the platform. There is no coordinator.
//
// The holder of the duties is named in a Record, a single object in the store that routers
// replace by conditional writes. Each write of the holder gives it authority to act for a part
// of the lease. Another router takes the duties over once it has not heard from the holder for
// the lease, or soon after the holder has resigned. Routers gossip what they know of the holder.
//
// The revision of the write that began a holder's tenure, with its epoch, is its fencing token: no two
// writes have the same revision, and each has a higher one than those before, also after the object
// was removed from the store, and after the store came back from an older copy.
//
// A record names the epoch in which it was written. One that is stored in a later epoch was brought
// back by the store: a later holder may have been lost with its records. It names no holder, and the
// duties are taken over from it as after a record that was removed.
//
// A Machine is the state machine of one router. It reads no clock and does no I/O: the router
// calls Next, performs the Action, and passes the Outcome to Done.
package duty
