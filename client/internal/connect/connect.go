// Package connect builds the HTTP client for control VMs, entries and operations
// pages. The load command has its own client.
package connect

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// dialTimeout limits the set-up of a connection.
const dialTimeout = 2 * time.Second

// TLSFiles are the paths of the certificate files for mutual TLS. If all are
// empty, TLS is not used.
type TLSFiles struct {
	Cert, Key, CA string
}

// Enabled reports whether TLS is used.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// Scheme returns the URL scheme of calls to control VMs.
func (f TLSFiles) Scheme() string {
	if f.Enabled() {
		return "https"
	}
	return "http"
}

// NewClient returns an HTTP client. It returns an error if a certificate file is
// missing or invalid.
func NewClient(f TLSFiles) (*http.Client, error) {
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ForceAttemptHTTP2: true,
	}
	if !f.Enabled() {
		return &http.Client{Transport: transport}, nil
	}
	config, err := tlsConfig(f)
	if err != nil {
		return nil, err
	}
	transport.TLSClientConfig = config
	return &http.Client{Transport: transport}, nil
}

func tlsConfig(f TLSFiles) (*tls.Config, error) {
	if f.Cert == "" || f.Key == "" || f.CA == "" {
		return nil, errors.New("--cert, --key and --ca must be given together")
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	caPEM, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("read certificate authorities: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("read certificate authorities: %s contains no certificate", f.CA)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: roots}, nil
}
