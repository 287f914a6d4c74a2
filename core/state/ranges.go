package state

import (
	"slices"
	"sort"
)

// maxTicketRanges bounds the ranges of numbers of forgotten tickets. A range takes
// 16 bytes, so all ranges take at most 1 MiB.
const maxTicketRanges = 1 << 16

// TicketRange is a range of ticket numbers with both ends included.
type TicketRange struct {
	First uint64
	Last  uint64
}

// ticketRanges is a sorted list of ranges that neither overlap nor touch.
type ticketRanges []TicketRange

// position returns the index of the first range that ends at a number or after it.
func (r ticketRanges) position(number uint64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].Last >= number })
}

func (r ticketRanges) contains(number uint64) bool {
	i := r.position(number)
	return i < len(r) && r[i].First <= number
}

// insert adds a number that no range contains, and merges adjacent ranges.
func (r ticketRanges) insert(number uint64) ticketRanges {
	i := r.position(number)
	joinsLeft := i > 0 && r[i-1].Last == number-1
	joinsRight := i < len(r) && r[i].First == number+1
	switch {
	case joinsLeft && joinsRight:
		r[i-1].Last = r[i].Last
		return slices.Delete(r, i, i+1)
	case joinsLeft:
		r[i-1].Last = number
		return r
	case joinsRight:
		r[i].First = number
		return r
	}
	return slices.Insert(r, i, TicketRange{First: number, Last: number})
}
