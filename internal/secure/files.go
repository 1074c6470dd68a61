// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

// Package secure provides TLS configurations from files that may be replaced while the
// process runs. A handshake uses the files as they were at most a second before, or the
// last valid ones.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files holds the paths of a certificate, its private key and the certificate authority
// that signs the peers' certificates.
type Files struct {
	Cert string `yaml:"cert" doc:"PEM file with the certificate."`
	Key  string `yaml:"key" doc:"PEM file with its key."`
	CA   string `yaml:"ca,omitempty" doc:"PEM file with the authority that signs the peers' certificates."`
}

// IsSet reports whether at least one path is set.
func (f Files) IsSet() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// refreshInterval is the time for which the content of the files is used before they are
// read again.
const refreshInterval = time.Second

// Source provides TLS configurations from files and reads the files again when a
// handshake comes after refreshInterval. It must be created with NewSource and is safe
// for concurrent use.
type Source struct {
	files Files
	mu    sync.Mutex
	// cert and pool are from the last time that all files were valid.
	cert *tls.Certificate
	pool *x509.CertPool
	// refreshAt is the time after which a handshake reads the files again.
	refreshAt time.Time
}

// NewSource reads the files and returns an error if one cannot be read or is not valid.
func NewSource(f Files) (*Source, error) {
	s := &Source{files: f}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// read reads the files. If one is not valid, it returns an error and changes nothing.
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
			return errors.Newf("secure: no PEM certificate in %s", s.files.CA)
		}
	}
	s.cert, s.pool = &cert, pool
	s.refreshAt = time.Now().Add(refreshInterval)
	return nil
}

// current returns the certificate and the authority, and reads the files again if they
// are due. If a file is not valid, as may happen while the files are being replaced, the
// last valid ones are returned.
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

// Server returns the configuration of a listener that requests no client certificate.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// Mutual returns the configuration of either side of a link on which both sides need a
// certificate that the authority has signed. Names in certificates are not verified:
// peers are reached by IP number and also prove the link key.
func (s *Source) Mutual() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// VerifyConnection verifies the chain instead, against the authority in the
		// current file.
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

// verify verifies the peer's certificate chain against the authority. It returns an error
// if the peer sent no certificate or the chain is not valid.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("secure: the peer sent no certificate")
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
