package transport

import (
	"crypto/tls"
	"net/http"

	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// Role is a role that a peer's certificate grants by its organizational unit.
type Role string

// Roles of peers.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Security holds the mutual TLS configuration of a process. The zero value means
// no TLS and allows every role.
type Security struct {
	store  *certificateStore
	server *tls.Config
	client *tls.Config
	log    *events.Log
}

// ServerConfig returns the TLS configuration of servers, nil without TLS.
func (s Security) ServerConfig() *tls.Config { return s.server }

// ClientConfig returns the TLS configuration of clients, nil without TLS.
func (s Security) ClientConfig() *tls.Config { return s.client }

// Scheme returns the URL scheme of calls between processes.
func (s Security) Scheme() string {
	if s.client == nil {
		return "http"
	}
	return "https"
}

// Require returns a handler that passes only requests from peers with the role
// to next. Without TLS a role can't be verified, and every request passes.
func (s Security) Require(role Role, next http.Handler) http.Handler {
	return s.RequireAny([]Role{role}, next)
}

// RequireAny returns a handler that passes only requests from peers with one of
// the roles to next. Without TLS every request passes.
func (s Security) RequireAny(roles []Role, next http.Handler) http.Handler {
	if s.server == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if allowed(r, roles) {
			next.ServeHTTP(w, r)
			return
		}
		s.log.Emit(events.Event{ID: events.PeerForbidden, Peer: r.RemoteAddr, Text: r.URL.Path})
		http.Error(w, "the certificate's role does not allow this request", http.StatusForbidden)
	})
}

func allowed(r *http.Request, roles []Role) bool {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return false
	}
	for _, unit := range r.TLS.PeerCertificates[0].Subject.OrganizationalUnit {
		for _, role := range roles {
			if unit == string(role) {
				return true
			}
		}
	}
	return false
}
