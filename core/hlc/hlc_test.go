package hlc

import (
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const driftBound = 500 * time.Millisecond

// process is a hybrid logical clock with a physical clock that has an offset and
// may be set back.
type process struct {
	*Clock
	physical, highest time.Time
	last              Timestamp
}

// Guards against a clock that goes back, an event that is not after the messages
// received before it, and a drift beyond the bound that spreads to other clocks.
func TestClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ps := make([]*process, 3)
		for i := range ps {
			offset := time.Duration(rapid.IntRange(-400, 400).Draw(t, "offset_ms")) * time.Millisecond
			ps[i] = &process{Clock: NewClock(driftBound), physical: time.UnixMilli(1_000_000).Add(offset)}
		}
		pick := func() *process { return ps[rapid.IntRange(0, len(ps)-1).Draw(t, "process")] }
		event := func(p *process) Timestamp {
			now := p.Now(p.physical)
			assert.Equal(t, now.Compare(p.last), 1)
			assert.Assert(t, now >= fromTime(p.physical))
			p.highest = time.UnixMilli(max(p.highest.UnixMilli(), p.physical.UnixMilli()))
			// Events within a millisecond and a full counter may add one more.
			assert.Assert(t, now.Millis() <= p.highest.Add(driftBound).UnixMilli()+1)
			p.last = now
			return now
		}
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) { event(pick()) },
			"clock": func(t *rapid.T) {
				p := pick()
				p.physical = p.physical.Add(time.Duration(rapid.IntRange(-50, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"message": func(t *rapid.T) {
				from, to := pick(), pick()
				sent := event(from)
				if rapid.Bool().Draw(t, "full counter") {
					sent |= math.MaxUint16
				}
				err := to.Observe(to.physical, sent)
				ahead := sent.Millis() - to.physical.UnixMilli()
				assert.Equal(t, err != nil, ahead > driftBound.Milliseconds())
				if err != nil {
					var drift *DriftError
					assert.Assert(t, errors.As(err, &drift) && drift.Bound == driftBound)
					return
				}
				to.highest = time.UnixMilli(max(to.highest.UnixMilli(), to.physical.UnixMilli()))
				assert.Assert(t, event(to) > sent)
			},
		})
	})
}

// Guards against a refused timestamp that moves the clock.
func TestRefusedTimestampChangesNothing(t *testing.T) {
	c := NewClock(driftBound)
	physical := time.UnixMilli(1000)
	first := c.Now(physical)
	assert.ErrorContains(t, c.Observe(physical, New(1501, 0)), "501ms ahead")
	// Enough milliseconds to overflow a time.Duration, once and twice.
	for _, millis := range []uint64{9_300_000_000_000, 20_000_000_000_000, maxMillis} {
		assert.ErrorContains(t, c.Observe(physical, New(millis, 0)), "ahead")
	}
	assert.Equal(t, c.Now(physical), first+1)
	assert.NilError(t, c.Observe(physical, New(1500, math.MaxUint16)))
	assert.Equal(t, c.Now(physical), New(1501, 0))
}

// Guards against a timestamp whose milliseconds and counter overlap.
func TestTimestampParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.Uint64Range(0, maxMillis).Draw(t, "millis")
		counter := rapid.Uint16().Draw(t, "counter")
		ts := New(millis, counter)
		assert.Equal(t, uint64(ts.Millis()), millis)
		assert.Equal(t, ts.Counter(), counter)
	})
	assert.Equal(t, New(1_767_323_045_678, 9).String(), "2026-01-02T03:04:05.678Z+9")
	assert.Equal(t, fromTime(time.Time{}), Timestamp(0))
}
