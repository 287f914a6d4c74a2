package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key, a.cert = a.issue("ca", "", nil)
	return a
}

// issue writes NAME.crt and NAME.key for a role, signed by the authority. The
// certificate is a self-signed one of an authority if parent is nil.
func (a *authority) issue(name string, role Role, parent *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer := a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(a.t, err)
	return key, cert
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(filepath.Join(a.dir, name), data, 0o600))
}

func (a *authority) security(name string) Security {
	path := func(file string) string { return filepath.Join(a.dir, file) }
	log := events.NewLog(name, zap.NewNop(), events.NewClock())
	s, err := LoadSecurity(&settings.TLS{CertFile: path(name + ".crt"), KeyFile: path(name + ".key"), CAFile: path("ca.crt")}, log)
	assert.NilError(a.t, err)
	return s
}

// getStatus sends a GET request and returns the status of the answer, zero if
// there was none.
func getStatus(t *testing.T, s Security, address string) int {
	t.Helper()
	client := NewClient(ClientOptions{Network: TCP{}, TLS: s.ClientConfig()})
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + address + "/")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestRolesAndRereadCertificates guards against an agent whose key is accepted
// as an operator's, against a peer of another authority, and against changed
// certificate files that take effect only after a restart.
func TestRolesAndRereadCertificates(t *testing.T) {
	a := newAuthority(t)
	for name, role := range map[string]Role{"control": RoleControl, "operator": RoleOperator, "agent": RoleAgent} {
		a.issue(name, role, a.cert)
	}
	server := a.security("control")
	l, err := TCP{}.Listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	srv := NewServer(server.Require(RoleOperator, ok), server.ServerConfig())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, srv, l, time.Second) }()
	address := l.Addr().String()

	assert.Equal(t, getStatus(t, a.security("operator"), address), http.StatusOK)
	assert.Equal(t, getStatus(t, a.security("agent"), address), http.StatusForbidden)
	other := newAuthority(t)
	other.issue("operator", RoleOperator, other.cert)
	assert.Equal(t, getStatus(t, other.security("operator"), address), 0)

	client := a.security("agent")
	a.issue("agent", RoleOperator, a.cert)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(filepath.Join(a.dir, "agent.crt"), later, later))
	client.store.reload()
	assert.Equal(t, getStatus(t, client, address), http.StatusOK)
	cancel()
	assert.NilError(t, <-served)
}
