// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package secure serves TLS from files that may be replaced while the process
// runs: each handshake uses what the files hold then.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files name a certificate, its key and the authority that signs peers.
type Files struct {
	Cert string `yaml:"cert" doc:"PEM file with the certificate."`
	Key  string `yaml:"key" doc:"PEM file with its key."`
	CA   string `yaml:"ca,omitempty" doc:"PEM file with the authority that signs the peers' certificates."`
}

// IsSet reports whether files are named.
func (f Files) IsSet() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// refreshInterval is how long a reading of the files counts.
const refreshInterval = time.Second

// Source reads the files again when they have changed. Use NewSource.
type Source struct {
	files Files
	mu    sync.Mutex
	// cert and pool are the last good reading; a bad one is not taken over.
	cert *tls.Certificate
	pool *x509.CertPool
	// refreshAt is when the files are looked at again.
	refreshAt time.Time
}

// NewSource reads the files once and returns an error if they are not sound.
func NewSource(f Files) (*Source, error) {
	s := &Source{files: f}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Source) read() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if s.files.CA != "" {
		text, err := os.ReadFile(s.files.CA)
		if err != nil {
			return err
		}
		if !pool.AppendCertsFromPEM(text) {
			return errors.Newf("%s holds no certificate", s.files.CA)
		}
	}
	s.cert, s.pool = &cert, pool
	s.refreshAt = time.Now().Add(refreshInterval)
	return nil
}

// current returns what the files hold. Files that are not sound, as while they
// are being replaced, leave the last good ones in force.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.refreshAt) {
		if err := s.read(); err != nil {
			s.refreshAt = time.Now().Add(refreshInterval)
		}
	}
	return s.cert, s.pool
}

// Server returns the settings of a listener that asks callers for nothing.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// Mutual returns the settings of one side of a link on which both sides show a
// certificate of the authority. Names are not compared, as peers are reached by
// IP number and prove the link key besides.
func (s *Source) Mutual() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// The chain is verified below, against the authority as it is now.
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		VerifyConnection: s.verify,
	}
}

// verify checks the peer's chain against the authority.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("secure: the peer shows no certificate")
	}
	_, pool := s.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
