// Package ticketfile reads and writes ticket files: JSON with the complete new
// state of every object that a ticket changes.
package ticketfile

import (
	"encoding/json"
	"strings"

	"github.com/cicadapulley/cicadapulley/api/strictjson"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// file is the JSON form of a ticket.
type file struct {
	Number   uint64    `json:"number"`
	Author   string    `json:"author"`
	Services []service `json:"services,omitempty"`
	Quotas   []quota   `json:"quotas,omitempty"`
	Drains   []drain   `json:"drains,omitempty"`
	Limits   *limits   `json:"limits,omitempty"`
}

type service struct {
	Name    string `json:"name"`
	Removed bool   `json:"removed,omitempty"`
	Kinds   []kind `json:"kinds,omitempty"`
}

type kind struct {
	Name       string `json:"name"`
	Repeatable bool   `json:"repeatable,omitempty"`
	ExpectedMS int64  `json:"expected_ms,omitempty"`
	Needs      *needs `json:"needs,omitempty"`
}

type needs struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

type quota struct {
	Caller   string `json:"caller"`
	MaxTasks int64  `json:"max_tasks,omitempty"`
	Weight   int64  `json:"weight,omitempty"`
}

type drain struct {
	Endpoint string `json:"endpoint"`
	Drain    bool   `json:"drain"`
}

type limits struct {
	MaxQueued int64 `json:"max_queued,omitempty"`
}

// Validate implements strictjson.Validator with the rules of the control VMs.
func (f *file) Validate(report func(path, message string)) {
	err := f.toTicket().Validate()
	if err == nil {
		return
	}
	path, message, found := strings.Cut(err.Error(), ": ")
	if !found {
		path, message = "", err.Error()
	}
	report(path, message)
}

// Parse reads a ticket. name identifies data in errors, which are
// strictjson.Problems with path and line.
func Parse(name string, data []byte) (state.Ticket, error) {
	var f file
	if err := strictjson.Decode(name, data, &f); err != nil {
		return state.Ticket{}, err
	}
	return f.toTicket(), nil
}

// Encode writes a ticket as indented JSON that Parse reads. Revisions and the
// objects' ticket numbers are not part of a file.
func Encode(t state.Ticket) ([]byte, error) {
	data, err := json.MarshalIndent(fromTicket(t), "", "  ")
	return append(data, '\n'), err
}
