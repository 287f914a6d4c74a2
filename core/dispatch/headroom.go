package dispatch

import "math"

const (
	// startGain is the weight of one start in the moving averages.
	startGain = 1.0 / 64
	// backlogThreshold is the number of queued items from which a flow counts
	// as backlogged until its queue is empty.
	backlogThreshold = 4
	// bulkWorkFactor is the multiple of the mean work above which a task is
	// bulk work. It is above 1, so that a burst of equal short tasks is not
	// classified as bulk work.
	bulkWorkFactor = 1.2
	// headroomSigmas is the number of standard deviations of the number of
	// interactive tasks in flight for which bulk work leaves slots free.
	headroomSigmas = 2.0
	// minBulkShare is the share of the slots that bulk work may always use.
	minBulkShare = 0.25
)

// headroom limits the slots that bulk work uses, so that a short call does not
// wait for the end of a job's longer task. Tasks of backlogged flows are bulk
// work if they are longer than the mean or of a kind that has not run yet; all
// other tasks are interactive.
type headroom struct {
	// meanLogWork is the moving average of the logarithm of the work in seconds
	// of interactive tasks. Bulk tasks are left out, so that a job stays bulk
	// work while it runs; the logarithm limits the influence of a few long calls.
	meanLogWork float64
	samples     int
	// bulk and interactive are the numbers of tasks in flight.
	bulk        int
	interactive int
	// meanInteractive is the moving average of interactive, sampled at starts.
	meanInteractive float64
}

func (h *headroom) isBulk(f *flow, k *kind) bool {
	if h.samples == 0 || !f.backlogged {
		return false
	}
	return !k.hasSamples() || k.work > bulkWorkFactor*math.Exp(h.meanLogWork)
}

func (h *headroom) recordStart(a *attempt) {
	if a.bulk {
		h.bulk++
	} else {
		h.interactive++
		h.observeWork(a.work)
	}
	h.meanInteractive += startGain * (float64(h.interactive) - h.meanInteractive)
}

func (h *headroom) observeWork(work float64) {
	h.samples++
	gain := max(1/float64(h.samples), startGain)
	h.meanLogWork += gain * (math.Log(work) - h.meanLogWork)
}

func (h *headroom) recordEnd(a *attempt) {
	if a.bulk {
		h.bulk--
	} else {
		h.interactive--
	}
}

// bulkLimitReached reports whether bulk work uses all of its share of the
// entry's slots.
func (h *headroom) bulkLimitReached(slots int) bool {
	reserved := h.meanInteractive + headroomSigmas*math.Sqrt(h.meanInteractive)
	return h.bulk > 0 && float64(h.bulk) >= max(minBulkShare*float64(slots), float64(slots)-reserved)
}
