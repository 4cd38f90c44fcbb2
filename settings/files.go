package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// minKeyBytes is the least length of a shared key.
const minKeyBytes = 32

// Secret reads a file without the white space around its content; an empty
// name gives nil.
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
		return nil, errors.Newf("secret %s is empty", file)
	}
	return b, nil
}

// Key reads a shared key of at least 32 bytes; an empty name gives nil.
func Key(file string) ([]byte, error) {
	b, err := Secret(file)
	if err != nil || b == nil {
		return nil, err
	}
	if len(b) < minKeyBytes {
		return nil, errors.Newf("key %s has %d bytes, need %d", file, len(b), minKeyBytes)
	}
	return b, nil
}

// Server returns the configuration of a listener, or nil without a certificate.
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
	pool, err := certPool(t.ClientCA)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.RootCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// Client returns the configuration towards targets, or nil without a CA.
func (t Targets) Client() (*tls.Config, error) {
	if t.CA == "" {
		return nil, nil
	}
	pool, err := certPool(t.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func certPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", file)
	}
	return pool, nil
}
