package cli

import (
	"fmt"
	"strings"

	"github.com/cicadapulley/cicadapulley/client/internal/output"
	"github.com/cicadapulley/cicadapulley/client/internal/ticketfile"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// appliedView is a committed ticket and, after a wait, the processes in which
// it is not in force yet.
type appliedView struct {
	Number   uint64 `json:"number"`
	Revision uint64 `json:"revision"`
	// Repeated means that the same ticket had been applied before.
	Repeated bool `json:"repeated,omitempty"`
	// Unchanged means that no ticket was needed; Number is the ticket that last
	// wrote the object.
	Unchanged bool     `json:"unchanged,omitempty"`
	Waited    bool     `json:"waited,omitempty"`
	InForce   bool     `json:"in_force,omitempty"`
	Behind    []string `json:"behind,omitempty"`
}

// Print implements output.Printable.
func (v *appliedView) Print(w *output.Writer) {
	switch {
	case v.Unchanged:
		w.Linef("unchanged since ticket %d, revision %d", v.Number, v.Revision)
	case v.Repeated:
		w.Linef("ticket %d was applied before, revision %d", v.Number, v.Revision)
	default:
		w.Linef("ticket %d, revision %d", v.Number, v.Revision)
	}
	if v.InForce {
		w.Linef("in force in every active process")
	}
	if len(v.Behind) > 0 {
		w.Linef("behind: %s", output.Clean(strings.Join(v.Behind, ", ")))
	}
}

type ticketsView struct {
	Tickets []ticketView `json:"tickets"`
}

type ticketView struct {
	Number   uint64   `json:"number"`
	Author   string   `json:"author"`
	Revision uint64   `json:"revision"`
	Touches  []string `json:"touches"`
}

func newTicketsView(list []state.AppliedTicket) *ticketsView {
	v := &ticketsView{Tickets: []ticketView{}}
	for _, t := range list {
		v.Tickets = append(v.Tickets, ticketView{
			Number:   t.Ticket.Number,
			Author:   t.Ticket.Author,
			Revision: t.Revision,
			Touches:  touchedObjects(t.Ticket),
		})
	}
	return v
}

func touchedObjects(t state.Ticket) []string {
	objects := []string{}
	for _, s := range t.Services {
		objects = append(objects, "service "+s.Name)
	}
	for _, q := range t.Quotas {
		objects = append(objects, "quota "+q.Caller)
	}
	for _, d := range t.Drains {
		objects = append(objects, fmt.Sprintf("drain %s=%t", d.Endpoint, d.Drain))
	}
	if t.Limits != nil {
		objects = append(objects, "limits")
	}
	return objects
}

// Print implements output.Printable.
func (v *ticketsView) Print(w *output.Writer) {
	rows := make([][]string, len(v.Tickets))
	for i, t := range v.Tickets {
		rows[i] = []string{fmt.Sprint(t.Number), t.Author, fmt.Sprint(t.Revision), strings.Join(t.Touches, ", ")}
	}
	w.Table([]string{"NUMBER", "AUTHOR", "REVISION", "TOUCHES"}, rows)
}

type diffView struct {
	Number         uint64              `json:"number"`
	WouldBeRefused bool                `json:"would_be_refused"`
	Changes        []ticketfile.Change `json:"changes"`
}

func newDiffView(t state.Ticket, changes []ticketfile.Change) *diffView {
	v := &diffView{Number: t.Number, Changes: []ticketfile.Change{}}
	for _, c := range changes {
		v.WouldBeRefused = v.WouldBeRefused || c.Stale
		if c.Differs() || c.Stale {
			v.Changes = append(v.Changes, c)
		}
	}
	return v
}

// Print implements output.Printable.
func (v *diffView) Print(w *output.Writer) {
	if len(v.Changes) == 0 {
		w.Linef("ticket %d changes nothing", v.Number)
	}
	for _, c := range v.Changes {
		object := output.Clean(c.Object)
		switch {
		case c.Stale && !c.Differs():
			w.Linef("= %s: %s", object, c.After)
		case c.Before == "":
			w.Linef("+ %s: %s", object, c.After)
		case c.After == "":
			w.Linef("- %s: %s", object, c.Before)
		default:
			w.Linef("~ %s: %s -> %s", object, c.Before, c.After)
		}
		if c.Stale {
			w.Linef("  written by ticket %d, so ticket %d would be refused", c.Ticket, v.Number)
		}
	}
}
