package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// cuts are the partitions between processes. A connection across one stays open and silent.
type cuts struct {
	mu  sync.Mutex
	cut func(from, to string) bool
}

func (c *cuts) set(cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cuts) between(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut != nil && (c.cut(a, b) || c.cut(b, a))
}

// serveProxy forwards the connections of other processes to a process of the system. Each begins
// with a message that names its sender.
func (s *system) serveProxy(p *process, listen, target string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.forward(p, c, target)
		}
	}()
	return nil
}

func (s *system) forward(p *process, c net.Conn, target string) {
	defer c.Close()
	buffer := make([]byte, 64<<10)
	n, err := c.Read(buffer)
	if err != nil {
		return
	}
	sender := ""
	for _, o := range s.all() {
		if bytes.Contains(buffer[:n], []byte(o.name)) {
			sender = o.name
		}
	}
	for s.cuts.between(sender, p.name) {
		time.Sleep(5 * time.Millisecond)
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(buffer[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 64<<10)
		for {
			n, err := src.Read(b)
			for s.cuts.between(sender, p.name) {
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, err := dst.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(to, c)
	go pump(c, to)
	<-done
}
