package dispatch

import "math"

const (
	// startGain is the weight of one start in the moving averages.
	startGain = 1.0 / 64
	// bulkQueue is the number of queued items from which a flow counts as bulk.
	bulkQueue = 4
	// bulkRatio is how many times the mean work a bulk task has. It is above 1,
	// so that a burst of equal short tasks is not taken for bulk work.
	bulkRatio = 1.2
	// headroomSigmas is the number of standard deviations of the number of
	// interactive tasks in flight for which bulk work leaves slots free.
	headroomSigmas = 2.0
	// minBulkShare is the part of the slots that bulk work may always use.
	minBulkShare = 0.25
)

// headroom limits the slots that bulk work takes, so that a short call does not
// wait for the end of a job's longer task. Bulk are tasks longer than the mean
// from flows that have a queue; all other tasks are interactive.
type headroom struct {
	// meanWork is the moving average of the work of started tasks, in seconds.
	meanWork float64
	// bulk and interactive are numbers of tasks in flight.
	bulk        int
	interactive int
	// meanInteractive is the moving average of interactive at starts.
	meanInteractive float64
}

func (h *headroom) isBulk(f *flow, k *kind) bool {
	return f.queued >= bulkQueue && k.work > bulkRatio*h.meanWork
}

func (h *headroom) started(f *flight) {
	if h.meanWork == 0 {
		h.meanWork = f.work
	}
	h.meanWork += startGain * (f.work - h.meanWork)
	if f.bulk {
		h.bulk++
	} else {
		h.interactive++
	}
	h.meanInteractive += startGain * (float64(h.interactive) - h.meanInteractive)
}

func (h *headroom) ended(f *flight) {
	if f.bulk {
		h.bulk--
	} else {
		h.interactive--
	}
}

// full reports whether bulk work has its part of the entry's slots.
func (h *headroom) full(slots int) bool {
	expected := h.meanInteractive + headroomSigmas*math.Sqrt(h.meanInteractive)
	return h.bulk > 0 && float64(h.bulk) >= max(minBulkShare*float64(slots), float64(slots)-expected)
}
