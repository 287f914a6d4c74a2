package memnet

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// timer waits for times below a millisecond. time.Sleep rounds them up to one
// while the process is idle, which would double a modelled link of 0.5 ms.
type timer struct{ file *os.File }

// newTimer returns a timer of the kernel that the runtime's poller waits for,
// or one that falls back to time.Sleep if there is none.
func newTimer() *timer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &timer{}
	}
	return &timer{file: os.NewFile(uintptr(fd), "timerfd")}
}

// sleep blocks for d, which must be above zero.
func (t *timer) sleep(d time.Duration) {
	if t.file == nil {
		time.Sleep(d)
		return
	}
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(d.Nanoseconds())}
	var err error
	control, connErr := t.file.SyscallConn()
	if connErr == nil {
		connErr = control.Control(func(fd uintptr) { err = unix.TimerfdSettime(int(fd), 0, &spec, nil) })
	}
	if connErr != nil || err != nil {
		time.Sleep(d)
		return
	}
	var expirations [8]byte
	_, _ = t.file.Read(expirations[:]) // a failed read only shortens the delay
}

func (t *timer) close() {
	if t.file != nil {
		_ = t.file.Close() // the timer holds no data
	}
}
