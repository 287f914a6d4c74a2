package runtable

import "github.com/cicadapulley/cicadapulley/core/work"

// Drains is what an agent knows of the operator's drains of data centres. It is kept across
// sessions. No time ends it: an agent that is out of contact with control goes on by the
// newest that it has received.
type Drains struct {
	dataCentre string
	newest     work.DataCentreDrains
}

// NewDrains returns the drains of an agent that has not received any. dataCentre is its
// own; empty if it is not known.
func NewDrains(dataCentre string) *Drains { return &Drains{dataCentre: dataCentre} }

// Received records the drains that a control VM has applied. Older ones are ignored, as
// from a VM that is behind.
func (d *Drains) Received(received work.DataCentreDrains) {
	if received.Revision > d.newest.Revision {
		d.newest = received
	}
}

// Drained reports whether the agent's data centre is drained.
func (d *Drains) Drained() bool { return d.newest.Contains(d.dataCentre) }
