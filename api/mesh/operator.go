package mesh

import (
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// OperatorRequest is an operator's request, forwarded to the leader by another
// control VM.
type OperatorRequest struct {
	Sequence uint64
	// Configure is the configuration to bring into force. A request without it and the
	// fields below reads the one in force.
	Configure *work.Configuration
	// Drain is the order to drain a data centre, or to withdraw that order. Former code
	// ignores it and answers as to a request to read.
	Drain *ledger.DrainCommand `cbor:",omitempty"`
	// ReadDrain is a data centre whose drain is to be read.
	ReadDrain string `cbor:",omitempty"`
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
	// Drains are the data centres that are drained, for Drain and ReadDrain; nil from
	// former code.
	Drains *work.DataCentreDrains `cbor:",omitempty"`
	// DrainRevision, for Drain and ReadDrain, is the revision of the data centre, 0 before
	// the first order. It is set too if an order was rejected because it named another one.
	DrainRevision uint64 `cbor:",omitempty"`
}
