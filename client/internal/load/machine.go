package load

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// machine is the state of the machine at one time. Other programs on it
// disturb a measurement, so reports say how busy it was.
type machine struct {
	// load is the load average over a minute, as the kernel counts it.
	load string
	// stalled is the time in which some thread waited for a processor, since
	// the start of the machine.
	stalled time.Duration
	at      time.Time
}

var stallTotal = regexp.MustCompile(`some .*total=(\d+)`)

// readMachine reads what the kernel offers; unreadable parts stay zero.
func readMachine() machine {
	m := machine{at: time.Now()}
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.load, _, _ = strings.Cut(string(data), " ")
	}
	data, err := os.ReadFile("/proc/pressure/cpu")
	if err != nil {
		return m
	}
	if match := stallTotal.FindSubmatch(data); match != nil {
		micros, _ := strconv.ParseInt(string(match[1]), 10, 64) // the pattern has digits only
		m.stalled = time.Duration(micros) * time.Microsecond
	}
	return m
}

// pressure is the part of the time since an earlier reading in which some
// thread of the machine waited for a processor.
func (m machine) pressure(before machine) float64 {
	return (m.stalled - before.stalled).Seconds() / m.at.Sub(before.at).Seconds()
}
