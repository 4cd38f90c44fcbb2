package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// minKeyBytes is the minimum length of a shared key.
const minKeyBytes = 32

// Secret returns the content of a file without leading and trailing white space. It returns
// nil for an empty file name, and an error for an empty file.
func Secret(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read secret")
	}
	b = bytes.TrimSpace(b)
	if len(b) == 0 {
		return nil, errors.Newf("secret file %s is empty", file)
	}
	return b, nil
}

// Key returns the shared key in a file, which must have at least 32 bytes. It returns nil for
// an empty file name.
func Key(file string) ([]byte, error) {
	b, err := Secret(file)
	if err != nil || b == nil {
		return nil, err
	}
	if len(b) < minKeyBytes {
		return nil, errors.Newf("key file %s has %d bytes, need %d", file, len(b), minKeyBytes)
	}
	return b, nil
}

// Server returns the TLS configuration of a listener, or nil if it has no certificate.
func (t TLS) Server() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if t.ClientCA == "" {
		return c, nil
	}
	pool, err := loadCertPool(t.ClientCA)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.RootCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// Client returns the TLS configuration for connections to targets, or nil if there is no CA.
func (t Targets) Client() (*tls.Config, error) {
	if t.CA == "" {
		return nil, nil
	}
	pool, err := loadCertPool(t.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s contains no certificates", file)
	}
	return pool, nil
}
