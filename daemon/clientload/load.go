// Package clientload sends the loads of clients that nothing on their side holds back, and measures
// the process that serves them. Only tests use it.
package clientload

import (
	"net"
	"sync"
	"time"
)

const (
	// loadTime bounds how long the clients of a load send. A client that has sent all it
	// has keeps its connection open until the end of the load.
	loadTime = 8 * time.Second
	// holdTime is how long the connections then stay open before the ordinary request.
	holdTime = time.Second
)

// Load is a load of many connections to one address of one process.
type Load struct {
	Address     string
	Connections int
	// Send sends one connection's part; its error ends only this connection.
	Send func(c net.Conn, i int) error
}

// run opens all connections, sends on all of them at once, calls sent when all have sent what
// they could, and closes them.
func (l Load) run(sent func()) {
	deadline := time.Now().Add(loadTime)
	var opened []net.Conn
	var sending sync.WaitGroup
	for i := range l.Connections {
		c, err := net.DialTimeout("tcp", l.Address, time.Until(deadline))
		if err != nil {
			continue // refused or not accepted in time, which the product may do
		}
		_ = c.SetDeadline(deadline)
		opened = append(opened, c)
		sending.Go(func() { _ = l.Send(c, i) })
	}
	sending.Wait()
	time.Sleep(holdTime)
	sent()
	for _, c := range opened {
		_ = c.Close()
	}
}

// Run runs loads on a process one after the other, and calls ordinary while the connections of each
// are still open, unless the process has ended. It returns what the process took at most.
func Run(p Process, ordinary func(), loads ...Load) Peak {
	w := p.watch()
	for _, l := range loads {
		l.run(func() {
			if !p.Ended() {
				ordinary()
			}
		})
		if p.Ended() {
			break
		}
	}
	return w.stop()
}
