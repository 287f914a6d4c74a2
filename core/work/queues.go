package work

import (
	"fmt"
	"strings"
	"time"
)

// Queue accepts callers' jobs under a host and a path prefix, and sets the policy
// of its jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request; the longest prefix wins.
	Host   string
	Prefix string
	// Pool names the endpoints that run the queue's jobs.
	Pool        string
	Priority    int
	MaxAttempts int
	// Timeout bounds a caller's request.
	Timeout time.Duration
	Stretch float64
	Target  time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version uint64
	Queues  []Queue
	Pools   []string
	// Document is the text that the operator sent, returned on reads.
	Document []byte
}

// Validate checks the configuration. The error names the queue.
func (c *Configuration) Validate() error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		pools[p] = true
	}
	owners := map[string]string{}
	for _, q := range c.Queues {
		route := q.Host + " " + q.Prefix
		switch owner, taken := owners[route]; {
		case !pools[q.Pool]:
			return fmt.Errorf("queue %q: unknown pool %q", q.Name, q.Pool)
		case q.Timeout <= 0:
			return fmt.Errorf("queue %q: timeout must be positive", q.Name)
		case taken:
			return fmt.Errorf("queue %q: host and prefix belong to queue %q", q.Name, owner)
		}
		owners[route] = q.Name
	}
	return nil
}

// Routes finds queues by host and path.
type Routes struct {
	byHost map[string][]*Queue
}

// NewRoutes indexes the queues of a configuration.
func NewRoutes(c *Configuration) *Routes {
	r := &Routes{byHost: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		r.byHost[q.Host] = append(r.byHost[q.Host], q)
	}
	return r
}

// Match returns the queue with the longest prefix of path and the rest of the
// path, or nil.
func (r *Routes) Match(host, path string) (*Queue, string) {
	var best *Queue
	for _, q := range r.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// jobIDLength is the number of hexadecimal digits of a job's ID.
const jobIDLength = 16

// Resolve returns the queue of a path and the job that the path names, which is
// empty for the queue itself. The queue is nil if the path is neither.
func (r *Routes) Resolve(host, path string) (*Queue, JobID) {
	queue, rest := r.Match(host, path)
	if queue == nil || rest != "" && !validJobID(rest) {
		return nil, ""
	}
	return queue, JobID(rest)
}

func validJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
