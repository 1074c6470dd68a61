// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package desk implements the operator's commands that read fleet settings, decision trails, bills
// and the state of processes.
//
// Diff and Effective print settings; Wait and Status query the revision of the settings that
// processes on VMs have in force. FindTrail and Explain find and print the recorded decisions on a
// request, ExplainFromLog finds them in a router's log. Bills reads bill lines, and Fetch reads a
// path of a process's operators' listener.
package desk
