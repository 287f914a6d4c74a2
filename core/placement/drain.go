package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// SetDrained makes the endpoints of drained data centres unusable. Drains of an older
// revision are ignored.
func (p *Planner) SetDrained(time.Time, work.DataCentreDrains) {}
