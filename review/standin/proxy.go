package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy listens on a machine's address for the system's own connections and forwards
// them to the process.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxyConn]bool
	// cut holds all bytes back.
	cut bool
	// peerDelay delays what control machines send each other.
	peerDelay time.Duration
}

type proxyConn struct {
	client, server net.Conn
	peer           bool
	// silent drops all bytes for good, while the connection stays open.
	silent bool
}

func newProxy(listen, target string) *proxy {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		cannotRun("%v", err)
	}
	p := &proxy{listener: l, target: target, conns: map[*proxyConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset(func(*proxyConn) bool { return true })
}

// reset resets the selected connections.
func (p *proxy) reset(selects func(*proxyConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if selects(c) {
			for _, end := range []net.Conn{c.client, c.server} {
				_ = end.(*net.TCPConn).SetLinger(0)
				_ = end.Close()
			}
		}
	}
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
}

func (p *proxy) awaitUncut() {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.awaitUncut()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(c, server, client, true) })
	pumps.Go(func() { p.pump(c, client, server, false) })
	pumps.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

type chunk struct {
	data []byte
	due  time.Time
}

// pump copies one direction. The first bytes of a connection name the sender.
func (p *proxy) pump(c *proxyConn, to, from net.Conn, first bool) {
	queue := make(chan chunk, 1024)
	go func() {
		defer to.Close()
		for k := range queue {
			time.Sleep(time.Until(k.due))
			p.awaitUncut()
			p.mu.Lock()
			silent := c.silent
			p.mu.Unlock()
			if silent {
				continue
			}
			if _, err := to.Write(k.data); err != nil {
				_ = from.Close()
				for range queue {
				}
				return
			}
		}
	}()
	defer close(queue)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		if first && bytes.Contains(buffer[:n], []byte("control-")) {
			c.peer = true
		}
		due := time.Now()
		if c.peer {
			due = due.Add(p.peerDelay)
		}
		p.mu.Unlock()
		first = false
		queue <- chunk{data: bytes.Clone(buffer[:n]), due: due}
	}
}
