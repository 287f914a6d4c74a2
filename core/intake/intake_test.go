package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limits() Limits {
	return Limits{Connections: 3, ClientConnections: 2, Bytes: 1000, ClientBytes: 800, ReservedBytes: 300, SmallBytes: 50, StalledAfter: 100 * time.Millisecond}
}

// TestReservedBytes guards against large bodies that leave no room for a small one, and against one
// client address that takes all.
func TestReservedBytes(t *testing.T) {
	table := NewTable(limits())
	large, _, _ := table.Open("a", at(0))
	small, _, _ := table.Open("a", at(0))
	other, _, _ := table.Open("b", at(0))
	taken := table.Take(large, 701)
	assert.Assert(t, !taken, "the reserved part was taken")
	taken = table.Take(large, table.Largest())
	assert.Assert(t, taken)
	taken = table.Take(small, 50)
	assert.Assert(t, taken)
	taken = table.Take(small, 51)
	assert.Assert(t, !taken)
	taken = table.Take(other, 51)
	assert.Assert(t, !taken)
	taken = table.Take(other, 50)
	assert.Assert(t, taken)
}

// TestSlowestIsClosed guards against a connection that is closed although it makes progress or is
// served, while another one stalls.
func TestSlowestIsClosed(t *testing.T) {
	table := NewTable(limits())
	served, _, _ := table.Open("a", at(0))
	body, _, _ := table.Open("a", at(0))
	answer, _, _ := table.Open("b", at(0))
	for _, c := range []*Conn{served, body, answer} {
		taken := table.Take(c, 200)
		assert.Assert(t, taken)
	}
	table.Progress(served, Serving, at(1))
	table.Progress(body, Body, at(20))
	table.Progress(answer, Answer, at(10))
	victim := table.Slowest(served, 500, at(50))
	assert.Assert(t, victim == nil)
	victim = table.Slowest(served, 300, at(110))
	assert.Assert(t, victim == answer)
	victim = table.Slowest(served, 700, at(120))
	assert.Assert(t, victim == body, "the client's own limit is reached")
	c, victim, reason := table.Open("c", at(110))
	assert.Assert(t, c != nil && victim == answer && reason == TooMany)
	table.Close(victim)
	table.Progress(body, Idle, at(115))
	c, victim, reason = table.Open("c", at(120))
	assert.Assert(t, c != nil && victim == body && reason == TooMany, "an idle connection is closed first")
	table.Close(body)
	third, victim, reason := table.Open("c", at(120))
	assert.Assert(t, victim != nil && victim.client.address == "c" && reason == TooManyOfClient)
	table.Close(victim)
	table.Progress(third, Serving, at(121))
	table.Progress(c, Serving, at(121))
	c, _, _ = table.Open("c", at(122))
	assert.Assert(t, c == nil, "served connections are not closed")
}

// TestStreams guards against connections with many streams that leave none to one with few, and against
// one client address that takes all.
func TestStreams(t *testing.T) {
	l := limits()
	l.Streams, l.ClientStreams = 40, 36
	table := NewTable(l)
	many, _, _ := table.Open("a", at(0))
	few, _, _ := table.Open("a", at(0))
	other, _, _ := table.Open("b", at(0))
	open := func(c *Conn) (n int) {
		for table.OpenStream(c) {
			n++
		}
		return n
	}
	assert.Equal(t, open(many), 30)
	assert.Equal(t, open(few), 6, "the client's own limit")
	assert.Equal(t, open(other), 4)
	table.CloseStream(many)
	assert.Equal(t, open(other), 1)
	for _, c := range []*Conn{many, few, other} {
		table.Close(c)
		opened := table.OpenStream(c)
		assert.Assert(t, !opened, "a closed connection")
		for c.streams > 0 {
			table.CloseStream(c)
		}
	}
	assert.Equal(t, len(table.clients), 0)
}

// TestTable guards against bytes or connections that stay counted after they were given back, against
// a limit that is exceeded, and against waiting requests that are not granted what fits.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(limits())
		var open []*Conn
		var waiters []*Waiter
		held := map[*Conn]int64{}
		granted := func(w *Waiter) bool {
			select {
			case <-w.Granted:
				return true
			default:
				return false
			}
		}
		collect := func() {
			rest := waiters[:0]
			for _, w := range waiters {
				if granted(w) {
					held[w.conn] += w.bytes
					continue
				}
				rest = append(rest, w)
			}
			waiters = rest
		}
		now := 0
		pick := func() *Conn {
			if len(open) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(open).Draw(t, "conn")
		}
		closeConn := func(c *Conn) {
			table.Close(c)
			table.Close(c)
			for i := range open {
				if open[i] == c {
					open = append(open[:i], open[i+1:]...)
					break
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				c, victim, _ := table.Open(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "client"), at(now))
				if victim != nil {
					closeConn(victim)
				}
				if c != nil {
					open = append(open, c)
				}
			},
			"close": func(*rapid.T) { closeConn(pick()) },
			"progress": func(t *rapid.T) {
				table.Progress(pick(), Phase(rapid.IntRange(0, int(phaseCount)-1).Draw(t, "phase")), at(now))
			},
			"take": func(t *rapid.T) {
				c, n := pick(), rapid.Int64Range(0, 700).Draw(t, "bytes")
				taken, victim := table.Take(c, n), table.Slowest(c, n, at(now))
				if victim != nil && (victim.phase != Body && victim.phase != Answer) {
					t.Fatalf("victim in phase %d", victim.phase)
				}
				if taken {
					held[c] += n
				} else {
					waiters = append(waiters, table.Wait(c, n))
				}
			},
			"give": func(t *rapid.T) {
				for c, n := range held { // also after the connection was closed
					delete(held, c)
					table.Give(c, n)
					break
				}
			},
			"cancel": func(*rapid.T) {
				if len(waiters) == 0 {
					t.Skip()
				}
				w := waiters[0]
				if table.Cancel(w) == granted(w) {
					t.Fatal("a wait was neither cancelled nor granted, or both")
				}
				collect()
				if len(waiters) > 0 && waiters[0] == w {
					waiters = waiters[1:]
				}
			},
			"": func(t *rapid.T) {
				now += rapid.IntRange(0, 80).Draw(t, "ms")
				collect()
				var total int64
				for _, n := range held {
					total += n
				}
				if total != table.Held() || total > table.limits.Bytes || table.Connections() != len(open) || len(open) > table.limits.Connections {
					t.Fatalf("held %d, counted %d; open %d, counted %d", total, table.Held(), len(open), table.Connections())
				}
			},
		})
		for _, w := range waiters {
			table.Cancel(w)
		}
		for c, n := range held {
			table.Give(c, n)
		}
		for len(open) > 0 {
			closeConn(open[0])
		}
		if table.Held() != 0 || table.Connections() != 0 || len(table.clients) != 0 || len(table.waiters) != 0 {
			t.Fatalf("left over: %d bytes, %d connections, %d clients, %d waiters", table.Held(), table.Connections(), len(table.clients), len(table.waiters))
		}
	})
}
