// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package broken holds answers of HTTP/1 for tests, as bytes: those of servers in trouble, and unusual ones that are sound.
package broken

// SoundBody is the body of each element of SoundAnswers; its end is that of an event.
const SoundBody = "answer\n\n"

// Answer is an answer as bytes on the connection.
type Answer struct {
	Name string
	// Line is the status line, Fields the lines of the header, each with its end, and Body all that follows the head.
	Line, Fields, Body string
}

// Text returns the bytes of the answer with further header fields after its own, each with its end.
func (a *Answer) Text(fields string) string {
	return a.Line + "\r\n" + a.Fields + fields + "\r\n" + a.Body
}

const (
	okLine     = "HTTP/1.1 200 OK"
	failedLine = "HTTP/1.1 500 Internal Server Error"
	oldLine    = "HTTP/1.0 200 OK"
	length     = "Content-Length: 8\r\n"
	text       = SoundBody
	chunks     = "8\r\n" + SoundBody + "\r\n0\r\n\r\n"
)

// Answers returns answers whose heads are no heads of HTTP/1, as endpoints in trouble send them.
func Answers() []Answer {
	list := []Answer{
		{"otherVersion", "HTTP/9.9 200 OK", length, text},
		{"version2", "HTTP/2.0 200 OK", length, text},
		{"switchingProtocols", "HTTP/1.1 101 Switching Protocols", "Connection: upgrade\r\nUpgrade: x\r\n", text},
		{"chunksInOldVersion", oldLine, "Transfer-Encoding: chunked\r\n", chunks},
		{"interim", "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK", length, text},
		{"foldBeforeFields", okLine, " folded\r\n" + length, text},
		{"noColon", okLine, length + "X-Bad\r\n", text},
		{"NULInValue", okLine, length + "X-Bad: \x00\r\n", text},
		{"CRInValue", okLine, length + "X-Bad: a\rb\r\n", text},
	}
	for _, status := range []string{"000", "001", "020", "099", "+20", "-20", "20", "2000", "abc", "600", "999"} {
		list = append(list, Answer{"status" + status, "HTTP/1.1 " + status + " OK", length, text})
	}
	for _, f := range []struct{ name, field string }{
		{"blankInName", "X Bad: 1"}, {"blankAfterName", "X-Bad : 1"}, {"tabAfterName", "X-Bad\t: 1"}, {"emptyName", ": 1"}, {"controlInName", "X-\x01Bad: 1"},
		{"DELInName", "X-\x7fBad: 1"}, {"byteOver127InName", "X-\xfcBad: 1"}, {"separatorInName", "X-(Bad: 1"}, {"NULInName", "X-\x00Bad: 1"},
	} {
		list = append(list, Answer{f.name, okLine, length + f.field + "\r\n", text}, Answer{f.name + "First", okLine, f.field + "\r\n" + length, text})
	}
	for _, line := range []string{okLine, failedLine} {
		status := line[len("HTTP/1.1 "):][:3]
		list = append(list,
			Answer{"blankAfterLength" + status, line, "Content-Length : 8\r\n", text + "beyond the length"},
			Answer{"blankAfterEncoding" + status, line, "Transfer-Encoding : chunked\r\n", chunks},
			Answer{"blankAfterContentEncoding" + status, line, length + "Content-Encoding : gzip\r\n", "\x1f\x8b\x08\x00zz"},
		)
	}
	return list
}

// SoundAnswers returns answers with the body SoundBody and unusual heads that HTTP/1 allows, or that recipients may accept.
func SoundAnswers() []Answer {
	return []Answer{
		{"tabInValue", okLine, length + "X-Good: a\tb\r\n", text},
		{"byteOver127InValue", okLine, length + "X-Good: \xfc\r\n", text},
		{"emptyValue", okLine, length + "X-Good:\r\n", text},
		{"noBlankBeforeValue", okLine, "Content-Length:8\r\n", text},
		{"everySymbolInName", okLine, length + "X!#$%&'*+-.^_`|~0aZ: 1\r\n", text},
		{"folded", okLine, length + "X-Good: a\r\n b\r\n", text},
		{"noReason", "HTTP/1.1 200 ", length, text},
		{"noReasonAndNoBlank", "HTTP/1.1 200", length, text},
		{"oldVersion", oldLine, length, text},
		{"interim", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK", length, text},
		{"chunks", okLine, "Transfer-Encoding: chunked\r\n", chunks},
		{"trailerWithBlank", okLine, "Transfer-Encoding: chunked\r\n", "8\r\n" + SoundBody + "\r\n0\r\nX-Bad : 1\r\n\r\n"},
	}
}
