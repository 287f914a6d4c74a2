package main

import (
	"net"
	"regexp"
	"sync"
	"time"
)

// network decides which machines can't reach each other.
type network struct {
	mu  sync.Mutex
	cut func(a, b string) bool // nil if there is no cut
}

// set replaces the cut; nil heals it, and bytes that were held are delivered.
func (n *network) set(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// await blocks while two machines are cut off from each other.
func (n *network) await(a, b string) {
	for {
		n.mu.Lock()
		blocked := n.cut != nil && n.cut(a, b)
		n.mu.Unlock()
		if !blocked {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// proxy forwards the connections of other machines to the process of one machine, and
// holds bytes and new connections while a cut lies between the two.
type proxy struct {
	net    *network
	vm     string
	target string
	l      net.Listener
}

func newProxy(listen, target, vm string, n *network) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{net: n, vm: vm, target: target, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

var vmName = regexp.MustCompile(`(control|entry|agent)-\d+`)

// serve reads the first message, which names the machine that opened the connection.
func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close()
	first := make([]byte, 64<<10)
	size, err := c.Read(first)
	if err != nil {
		return
	}
	from := string(vmName.Find(first[:size]))
	p.net.await(from, p.vm)
	d, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	server := d.(*net.TCPConn)
	defer server.Close()
	if _, err := server.Write(first[:size]); err != nil {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(from, server, c) })
	pumps.Go(func() { p.pump(from, c, server) })
	pumps.Wait()
}

func (p *proxy) pump(from string, to, source *net.TCPConn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		p.net.await(from, p.vm)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
