// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package rig

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/traildrift/traildrift/internal/drive"
	"github.com/traildrift/traildrift/internal/entry"
	"github.com/traildrift/traildrift/internal/proc"
)

// sendRaw sends bytes to an entry and returns its answer, read until the entry closes the
// connection.
func sendRaw(t *testing.T, f *Fleet, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.Entries[0].Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(stepDeadline())
	_, _ = io.WriteString(c, text)
	got, _ := io.ReadAll(c)
	return string(got)
}

// TestInvalidRequests refuses requests without authorisation and requests that are too large,
// too slow or malformed. None of them may run.
func TestInvalidRequests(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1), EntrySettings: "maxBody: 1000\nmaxHeader: 2000\nreadWithin: 300ms\n"})
	ask := func(key string, a drive.Request) string {
		a.Deadline = stepDeadline()
		got, err := f.Caller(0, key).Do(a)
		return result(got, err)
	}
	large := chat("history", strings.Repeat("x", 2000), false)
	header := chat("history", "x", false)
	header.Header["X-Large"] = strings.Repeat("x", 4000)
	tests := []struct{ name, got, want string }{
		{"wrong key", ask("nobody", chat("history", "x", false)), "unauthorized/notRun"},
		{"no key", ask("", chat("history", "x", false)), "unauthorized/notRun"},
		{"another workspace's workload", ask("lima-key", chat("history", "x", false)), "notAllowed/notRun"},
		{"another workspace's model", ask("lima-key", chat("deedwriter", "x", false)), "notAllowed/notRun"},
		{"another workspace's service", ask("lima-key", note("", "x")), "notFound/notRun"},
		{"large body", ask(testKey, large), "tooLarge/notRun"},
		{"large header", ask(testKey, header), "tooLarge/notRun"},
		{"broken JSON", ask(testKey, drive.Request{Path: "/v1/chat/completions", Body: `{"model":`}), "badRequest/notRun"},
		{"no messages", ask(testKey, drive.Request{Path: "/v1/chat/completions", Body: `{"model":"history"}`}), "badRequest/notRun"},
		{"unknown path", ask(testKey, drive.Request{Path: "/v2/x"}), "notFound/notRun"},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, tt.got, tt.want)
		}
	}
	start := time.Now()
	sendRaw(t, f, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	if took := time.Since(start); took > maxPromptDelay {
		t.Errorf("slow headers: connection closed after %v, want less than 8s", took)
	}
	if got := sendRaw(t, f, "no HTTP at all\r\n\r\n"); !strings.Contains(got, "400") {
		t.Errorf("no HTTP: got %q, want a status 400", got)
	}
	if got := len(f.EngineRuns()) + len(f.ServiceCalls()); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

// authority is a certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T, dir, name string) *authority {
	t.Helper()
	a := &authority{dir: dir}
	a.cert, a.key = a.sign(t, name, true)
	writePEM(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *authority) sign(t *testing.T, name string, isCA bool) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	tmpl := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: isCA, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := a.cert, a.key
	if isCA {
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// issue writes a certificate for name and its key to file.crt and file.key.
func (a *authority) issue(t *testing.T, file, name string) {
	t.Helper()
	cert, key := a.sign(t, name, false)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(a.dir, file+".key"), "EC PRIVATE KEY", der)
	writePEM(t, filepath.Join(a.dir, file+".crt"), "CERTIFICATE", cert.Raw)
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestTLS serves callers and links over TLS, loads a new certificate without a restart, and
// rejects a peer whose certificate was signed by another authority.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t, dir, "ca")
	a.issue(t, "first", "first")
	linkTLS := fmt.Sprintf("linkTLS: {cert: %[1]s/first.crt, key: %[1]s/first.key, ca: %[1]s/ca.pem}\n", dir)
	f := startFleet(t, Options{
		Entries: 1, Pools: testPools(1), CallerTLS: true,
		EntrySettings: linkTLS + fmt.Sprintf("tls: {cert: %[1]s/first.crt, key: %[1]s/first.key}\n", dir),
		GuardSettings: linkTLS,
	})
	seen := func() string {
		c, err := tls.Dial("tcp", f.Entries[0].Callers.String(), &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return err.Error()
		}
		defer func() { _ = c.Close() }()
		return c.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	if got := seen(); got != "first" {
		t.Errorf("certificate: got %s, want first", got)
	}
	waitFor(t, "a chat over TLS", func() bool {
		got, err := f.TLSCaller(0, testKey).Do(chat("history", "lot", true))
		return result(got, err) == "whole"
	})
	a.issue(t, "first", "second")
	waitFor(t, "the second certificate", func() bool { return seen() == "second" })
	other := newAuthority(t, dir, "other")
	other.issue(t, "other", "other")
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "other.crt"), filepath.Join(dir, "other.key"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := tls.Dial("tcp", f.Guards[0].VM.Link.String(), &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}})
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	if got, want := fmt.Sprint(err), "bad certificate"; !strings.Contains(got, want) {
		t.Errorf("a peer of another authority: got %s, want %s", got, want)
	}
}

// waitFor polls ok and fails the test if it is not true within the step deadline.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := stepDeadline(); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// TestSecrets checks that no key appears in a log or a state dump, at log level debug.
func TestSecrets(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1), EntrySettings: "logLevel: debug\n", GuardSettings: "logLevel: debug\n"})
	expect(t, "chat", <-send(f, 0, chat("history", "lot", false)), "whole")
	keys, err := os.ReadFile(f.keyFile)
	if err != nil {
		t.Fatal(err)
	}
	var secrets [][]byte
	for field := range strings.FieldsFuncSeq(string(keys), func(r rune) bool { return strings.ContainsRune(" {},[]\n", r) }) {
		if len(field) == 32 {
			secrets = append(secrets, []byte(field))
		}
	}
	secrets = append(secrets, []byte(testKey))
	if len(secrets) != 3 {
		t.Fatalf("got %d secrets, want 3", len(secrets))
	}
	for _, n := range f.Nodes() {
		dump, err := n.Dump()
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range secrets {
			if bytes.Contains(dump, s) || strings.Contains(n.Log(), string(s)) {
				t.Errorf("%s: log or dump contains a secret", n.VM.Name)
			}
		}
	}
}

// TestProcessSettings checks that the error for a wrong process settings file names the line,
// the key and the allowed values.
func TestProcessSettings(t *testing.T) {
	const good = "vm: e\navailabilityZone: a\nlisten: 127.0.0.1:1\nlink: 127.0.0.1:2\noperators: 127.0.0.1:3\nplatform: 127.0.0.1:4\nkeys: k\n"
	tests := []struct{ name, old, new, want string }{
		{"sound", "", "", "<nil>"},
		{"unknown key", "keys: k", "keys: k\nkeyz: k", ":8: keyz:"},
		{"host name", "listen: 127.0.0.1:1", "listen: localhost:1", ":3:"},
		{"missing", "vm: e\n", "", ": vm: a name is required"},
		{"open operators' listener", "operators: 127.0.0.1:3", "operators: 10.0.0.1:3", ":5: operators: off loopback only with operatorsToken"},
		{"half of TLS", "keys: k", "keys: k\ntls: {cert: c}", ":8: tls: cert and key are required"},
		{"negative", "keys: k", "keys: k\nmaxBody: -1", ":8: maxBody: 0 (the default) or more is allowed"},
	}
	for _, tt := range tests {
		file := filepath.Join(t.TempDir(), "entry.yaml")
		if err := os.WriteFile(file, []byte(strings.Replace(good, tt.old, tt.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		var s entry.Settings
		if got := fmt.Sprint(proc.Load(file, &s)); !strings.Contains(got, tt.want) {
			t.Errorf("%s: got %q, want %q in it", tt.name, got, tt.want)
		}
	}
}

// TestRefusedCallerMayFinishSending sends the rest of a request after its refusal. A reset of
// the connection would make callers that are still sending fail before they read the answer.
func TestRefusedCallerMayFinishSending(t *testing.T) {
	f := startFleet(t, Options{Entries: 1, Pools: testPools(1), EntrySettings: "maxHeader: 2000\n"})
	c, err := net.Dial("tcp", f.Entries[0].Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(stepDeadline())
	if _, err := io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Large: "+strings.Repeat("x", 3000)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Contains(got, []byte("tooLarge")) {
		t.Errorf("answer: got %q, %v; want tooLarge and end of file", got, err)
	}
	for range 2 {
		if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
			t.Errorf("rest of the request: got %v, want no write error", err)
		}
	}
}
