package mesh

import "github.com/cicadapulley/cicadapulley/core/work"

// OperatorRequest is an operator's request, forwarded to the leader by another
// control VM.
type OperatorRequest struct {
	Sequence uint64
	// Configure is the configuration to bring into force; nil to read the one in
	// force.
	Configure *work.Configuration
}

// OperatorResponse answers an OperatorRequest.
type OperatorResponse struct {
	Sequence uint64
	// Done is set if the request was carried out. Otherwise the receiver does not
	// lead or the outcome is unknown, as Detail says.
	Done   bool
	Detail string
	// Document is the configuration in force, for a request to read it; empty
	// before the first.
	Document []byte
}
