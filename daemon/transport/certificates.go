package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// reloadInterval is how often the certificate files are checked for changes.
const reloadInterval = 10 * time.Second

// credentials are the certificate and authorities of one load of the files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// modified is the latest modification time of the files.
	modified time.Time
}

// certificateStore holds the credentials in use; the certificate files may change
// at any time.
type certificateStore struct {
	files   settings.TLS
	current atomic.Pointer[credentials]
	log     *events.Log
}

// LoadSecurity reads the certificate files. If files is nil, TLS is not used. It
// returns an error if a file can't be read or is invalid.
func LoadSecurity(files *settings.TLS, log *events.Log) (Security, error) {
	if files == nil {
		return Security{}, nil
	}
	s := &certificateStore{files: *files, log: log}
	c, err := s.load()
	if err != nil {
		return Security{}, err
	}
	s.current.Store(c)
	return Security{server: s.serverConfig(), client: s.clientConfig(), log: log, store: s}, nil
}

// Run reloads changed certificate files until ctx is done.
func (s Security) Run(ctx context.Context) error {
	if s.store == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.store.reload()
		}
	}
}

// reload loads the files if they changed. If they are invalid, the current
// credentials stay in use.
func (s *certificateStore) reload() {
	modified, err := s.newestChange()
	if err == nil && !modified.After(s.current.Load().modified) {
		return
	}
	c, err := s.load()
	if err != nil {
		s.log.Emit(events.Event{ID: events.CertificateRefused, Err: err})
		return
	}
	s.current.Store(c)
	s.log.Emit(events.Event{ID: events.CertificateReread})
}

func (s *certificateStore) newestChange() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (s *certificateStore) load() (*credentials, error) {
	modified, err := s.newestChange()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "cert_file and key_file")
	}
	data, err := os.ReadFile(s.files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("ca_file: %s has no certificate", s.files.CAFile)
	}
	return &credentials{certificate: certificate, authorities: pool, modified: modified}, nil
}

func (s *certificateStore) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{c.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    c.authorities,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// clientConfig verifies servers in VerifyConnection, so that reloaded authorities
// apply.
func (s *certificateStore) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// The standard verification uses a fixed pool; VerifyConnection replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

func (s *certificateStore) verifyServer(cs tls.ConnectionState) error {
	opts := x509.VerifyOptions{
		Roots:         s.current.Load().authorities,
		DNSName:       cs.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
