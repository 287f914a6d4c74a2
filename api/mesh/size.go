package mesh

import (
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// fixedBytes is counted for a message, and elementBytes for an element of a list, beside their
	// long texts. Elements name all their fields, which takes up to 250 bytes; a name has up to 256.
	fixedBytes   = 256
	elementBytes = 256
	// nameBytes is counted for a name in a list.
	nameBytes = 32
)

// SizeEstimate returns about the size of an encoded message, at a cost that does not depend on the
// length of its texts. Texts of more than a name's length are counted exactly.
func SizeEstimate(m Message) int {
	n := fixedBytes
	switch m := m.(type) {
	case *Welcome:
		n += elementBytes*(len(m.Queues)+len(m.Agents)) + nameBytes*len(m.Members)
		for i := range m.Agents {
			n += incarnationBytes(&m.Agents[i].Incarnation)
		}
		if m.Incarnation != nil {
			n += incarnationBytes(m.Incarnation)
		}
	case *Members:
		n += nameBytes * len(m.Addresses)
	case *Enrolled:
		n += elementBytes + incarnationBytes(&m.Agent.Incarnation)
	case *Ping:
		n += listedBytes(m.Running)
	case *Request:
		n += len(m.Host) + len(m.Path) + elementBytes*(len(m.PriorState.Done)+len(m.PriorState.Unconfirmed)) + jobBytes(m.Job)
	case *Response:
		n += len(m.Detail)
	case *Inventory:
		n += elementBytes + nameBytes*len(m.Endpoint.Labels) + incarnationBytes(&m.Incarnation) + listedBytes(m.Running) + endsBytes(m.Ends)
	case *PossibleRuns:
		n += elementBytes*len(m.Runs) + endsBytes(m.Ends)
	case *Orders:
		for i := range m.Orders {
			n += elementBytes + len(m.Orders[i].Spec) + len(m.Orders[i].Checkpoint)
		}
	case *Report:
		n += endsBytes(m.Ends) + elementBytes*(len(m.Refused)+len(m.Vanished))
	case *RaftMessages:
		for i := range m.Messages {
			n += raftBytes(&m.Messages[i])
		}
	case *Drains:
		n += nameBytes * len(m.State.DataCentres)
	case *OperatorRequest:
		n += configurationBytes(m.Configure) + drainBytes(m.Drain)
	case *OperatorResponse:
		n += len(m.Detail) + len(m.Document)
		if m.Drains != nil {
			n += nameBytes * len(m.Drains.DataCentres)
		}
	}
	return n
}

func incarnationBytes(i *work.Incarnation) int { return nameBytes * len(i.Labels) }

func listedBytes(list []placement.ListedRun) (n int) {
	for i := range list {
		n += elementBytes + len(list[i].Checkpoint)
	}
	return n
}

func endsBytes(list []NumberedEnd) (n int) {
	for i := range list {
		n += elementBytes + len(list[i].End.Checkpoint)
	}
	return n
}

func jobBytes(j *work.Job) int {
	if j == nil {
		return 0
	}
	n := elementBytes + len(j.Spec)
	for i := range j.Steps {
		n += elementBytes + 8*len(j.Steps[i].After)
	}
	return n
}

func raftBytes(m *raft.Message) int {
	n := elementBytes
	for i := range m.Entries {
		n += elementBytes + len(m.Entries[i].Data)
	}
	if m.Snapshot != nil {
		n += elementBytes + len(m.Snapshot.Data)
	}
	return n
}

func configurationBytes(c *work.Configuration) int {
	if c == nil {
		return 0
	}
	return len(c.Document) + elementBytes*len(c.Queues) + nameBytes*len(c.Pools)
}

func drainBytes(d *ledger.DrainCommand) int {
	if d == nil {
		return 0
	}
	return elementBytes
}
