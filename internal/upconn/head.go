// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package upconn

import (
	"fmt"
	"strings"
)

// HeadError says which rule of HTTP/1 the head of an answer breaks. Its sender may have run the request.
type HeadError string

// Error implements error.
func (e HeadError) Error() string { return "upconn: the answer has an invalid head: " + string(e) }

// headState is the part of a head to which the next byte belongs.
type headState int

const (
	inVersion headState = iota
	inStatus
	afterStatus
	inReason
	lineStart
	inName
	inValue
	afterCR
	afterLastCR
	// inBody is the state after the head. What follows is not checked.
	inBody
)

const (
	versionPrefix = "HTTP/1."
	// minStatus and maxStatus are the least and the greatest status of RFC 9110, section 15.
	minStatus, maxStatus = 100, 599
	finalStatus          = 200
	switchingProtocols   = 101
)

// IsStatus reports whether n is a status of an answer.
func IsStatus(n int) bool { return n >= minStatus && n <= maxStatus }

// encodingField is the name of the field that says that a body comes in chunks, which HTTP/1.0 does not have.
const encodingField = "transfer-encoding"

// head checks the head of an answer, and those of interim answers before it, byte by byte. The clients' own parsers accept
// some heads that RFC 9112 forbids, and drop the lines that break it, also those that frame the body.
type head struct {
	state headState
	// n is the number of bytes or digits that were read in state.
	n int
	// minor is the minor version, a digit; status is the number that was read of the status.
	minor  byte
	status int
	// fields is the number of header lines that have begun. matched is the number of bytes by which the name of the
	// present one agrees with encodingField, -1 if they differ.
	fields, matched int
}

// check checks the next bytes of an answer. It returns the number of those before the first that breaks a rule, and the
// rule; empty if none does.
func (h *head) check(p []byte) (int, HeadError) {
	for i := 0; i < len(p) && h.state != inBody; i++ {
		if rule := h.next(p[i]); rule != "" {
			return i, HeadError(rule)
		}
	}
	return len(p), ""
}

// enter enters a state.
func (h *head) enter(s headState) { h.state, h.n = s, 0 }

// next takes one byte. It returns the rule that the byte breaks; empty if none.
func (h *head) next(b byte) (rule string) {
	switch h.state {
	case inVersion:
		return h.nextOfVersion(b)
	case inStatus:
		return h.nextOfStatus(b)
	case afterStatus, inReason, inValue:
		return h.nextOfText(b)
	case lineStart:
		return h.nextOfLine(b)
	case inName:
		return h.nextOfName(b)
	case afterCR, afterLastCR:
		return h.nextAfterCR(b)
	default:
		return ""
	}
}

func (h *head) nextOfVersion(b byte) (rule string) {
	switch {
	case h.n < len(versionPrefix):
		if b != versionPrefix[h.n] {
			return "the status line does not begin with " + versionPrefix
		}
	case h.n == len(versionPrefix):
		if !isDigit(b) {
			return "the minor version is not a digit"
		}
		h.minor = b
	case b != ' ':
		return "the version is not followed by a blank"
	default:
		h.status = 0
		h.enter(inStatus)
		return ""
	}
	h.n++
	return ""
}

func (h *head) nextOfStatus(b byte) (rule string) {
	if b == ' ' && h.n == 0 {
		return ""
	}
	if !isDigit(b) {
		return "the status is not of three digits"
	}
	h.status = 10*h.status + int(b-'0')
	if h.n++; h.n < 3 {
		return ""
	}
	if !IsStatus(h.status) {
		return fmt.Sprintf("the status %03d is not from %d to %d", h.status, minStatus, maxStatus)
	}
	if h.status == switchingProtocols {
		return "it switches to a protocol that was not asked for"
	}
	h.enter(afterStatus)
	return ""
}

// nextOfText takes a byte of a reason or a value, or of what follows the status.
func (h *head) nextOfText(b byte) (rule string) {
	switch {
	case b == '\n':
		h.enter(lineStart)
	case b == '\r':
		h.enter(afterCR)
	case h.state == afterStatus && b != ' ':
		return "the status is not of three digits"
	case b < ' ' && b != '\t' || b == 0x7f:
		return fmt.Sprintf("the control byte %#02x in a line", b)
	case h.state == afterStatus:
		h.enter(inReason)
	}
	return ""
}

func (h *head) nextOfLine(b byte) (rule string) {
	switch {
	case b == '\n':
		h.end()
		return ""
	case b == '\r':
		h.enter(afterLastCR)
		return ""
	case (b == ' ' || b == '\t') && h.fields > 0:
		// The line continues the value before it, which gateways may accept: RFC 9112, section 5.2.
		h.enter(inValue)
		return ""
	}
	h.fields++
	h.matched = 0
	h.enter(inName)
	return h.nextOfName(b)
}

func (h *head) nextOfName(b byte) (rule string) {
	switch {
	case b == ':' && h.n == 0:
		return "a field has no name"
	case b == ':' && h.matched == len(encodingField) && h.minor == '0':
		return "a Transfer-Encoding in HTTP/1.0"
	case b == ':':
		h.enter(inValue)
		return ""
	case !isTokenByte(b):
		return fmt.Sprintf("the byte %#02x in the name of a field", b)
	}
	if h.matched >= 0 && h.matched < len(encodingField) && b|0x20 == encodingField[h.matched] {
		h.matched++
	} else {
		h.matched = -1
	}
	h.n++
	return ""
}

func (h *head) nextAfterCR(b byte) (rule string) {
	switch {
	case b != '\n':
		return "a CR that does not end a line"
	case h.state == afterCR:
		h.enter(lineStart)
	default:
		h.end()
	}
	return ""
}

// end ends a head. The answer itself follows an interim one.
func (h *head) end() {
	interim := h.status < finalStatus
	*h = head{}
	if !interim {
		h.state = inBody
	}
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isTokenByte reports whether b may stand in a token: RFC 9110, section 5.6.2.
func isTokenByte(b byte) bool {
	return isDigit(b) || b|0x20 >= 'a' && b|0x20 <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
