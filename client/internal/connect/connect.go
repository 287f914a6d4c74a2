// Package connect builds the HTTP client that all commands share.
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

// dialTimeout bounds the set-up of a connection.
const dialTimeout = 2 * time.Second

// Files names the certificate files of mutual TLS. All empty means no TLS.
type Files struct {
	Cert, Key, CA string
}

// Enabled reports whether TLS is used.
func (f Files) Enabled() bool { return f != Files{} }

// Scheme returns the URL scheme of calls to control VMs.
func (f Files) Scheme() string {
	if f.Enabled() {
		return "https"
	}
	return "http"
}

// Client returns a client. It fails if a file is missing or unreadable.
func Client(f Files) (*http.Client, error) {
	t := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ForceAttemptHTTP2: true,
	}
	if !f.Enabled() {
		return &http.Client{Transport: t}, nil
	}
	cfg, err := tlsConfig(f)
	if err != nil {
		return nil, err
	}
	t.TLSClientConfig = cfg
	return &http.Client{Transport: t}, nil
}

func tlsConfig(f Files) (*tls.Config, error) {
	if f.Cert == "" || f.Key == "" || f.CA == "" {
		return nil, errors.New("--cert, --key and --ca belong together")
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read authorities: %s holds no certificate", f.CA)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool}, nil
}
