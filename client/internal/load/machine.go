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
type machineStats struct {
	// load is the load average over a minute, as the kernel counts it.
	loadAvg string
	// stalled is the time in which some thread waited for a processor, since
	// the start of the machine.
	cpuWait time.Duration
	readAt  time.Time
}

var pressureTotal = regexp.MustCompile(`some .*total=(\d+)`)

// readMachine reads what the kernel offers; unreadable parts stay zero.
func readMachineStats() machineStats {
	m := machineStats{readAt: time.Now()}
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.loadAvg, _, _ = strings.Cut(string(data), " ")
	}
	data, err := os.ReadFile("/proc/pressure/cpu")
	if err != nil {
		return m
	}
	if match := pressureTotal.FindSubmatch(data); match != nil {
		micros, _ := strconv.ParseInt(string(match[1]), 10, 64) // the pattern has digits only
		m.cpuWait = time.Duration(micros) * time.Microsecond
	}
	return m
}

// pressure is the part of the time since an earlier reading in which some
// thread of the machine waited for a processor.
func (m machineStats) cpuPressure(before machineStats) float64 {
	return (m.cpuWait - before.cpuWait).Seconds() / m.readAt.Sub(before.readAt).Seconds()
}
