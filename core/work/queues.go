package work

import (
	"errors"
	"fmt"
	"iter"
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

// MaxQueues and MaxPools bound the lists of a configuration. The decoder of what control VMs record and send accepts
// no longer list, so a control VM that applied one would end, and end again whenever it read its log.
const (
	MaxQueues = 128 << 10
	MaxPools  = 128 << 10
)

// ProblemKind is what makes a configuration invalid.
type ProblemKind uint8

// Kinds of problems.
const (
	UnknownPool ProblemKind = iota + 1
	NoTimeout
	RouteTaken
	TooManyQueues
	TooManyPools
)

// Problem is one reason for which a configuration is invalid. Its text names the queue, or the list that is too long.
type Problem struct {
	Kind ProblemKind
	// Queue is an index of Configuration.Queues, 0 for TooManyQueues and TooManyPools.
	Queue int
	Text  string
}

// Problems returns all problems: lists that are too long, and then those of the queues in their order.
func (c *Configuration) Problems() iter.Seq[Problem] {
	return func(yield func(Problem) bool) {
		tooLong := func(kind ProblemKind, field string, length, limit int) bool {
			return length <= limit || yield(Problem{Kind: kind, Text: fmt.Sprintf("%s: %d, must be at most %d", field, length, limit)})
		}
		if !tooLong(TooManyPools, "services", len(c.Pools), MaxPools) || !tooLong(TooManyQueues, "routes", len(c.Queues), MaxQueues) {
			return
		}
		pools := map[string]bool{}
		for _, p := range c.Pools {
			pools[p] = true
		}
		owners := map[string]string{}
		for i, q := range c.Queues {
			report := func(kind ProblemKind, format string, args ...any) bool {
				return yield(Problem{kind, i, fmt.Sprintf("queue %q: ", q.Name) + fmt.Sprintf(format, args...)})
			}
			route := q.Host + " " + q.Prefix
			owner, taken := owners[route]
			if !pools[q.Pool] && !report(UnknownPool, "unknown pool %q", q.Pool) ||
				q.Timeout <= 0 && !report(NoTimeout, "timeout must be positive") ||
				taken && !report(RouteTaken, "host and prefix belong to queue %q", owner) {
				return
			}
			if !taken {
				owners[route] = q.Name
			}
		}
	}
}

// Validate returns the first problem of the configuration.
func (c *Configuration) Validate() error {
	for p := range c.Problems() {
		return errors.New(p.Text)
	}
	return nil
}

// Routes finds queues by host and path.
type Routes struct {
	// Version is that of the configuration.
	Version uint64
	byHost  map[string][]*Queue
}

// NewRoutes indexes the queues of a configuration.
func NewRoutes(c *Configuration) *Routes {
	r := &Routes{Version: c.Version, byHost: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		r.byHost[q.Host] = append(r.byHost[q.Host], q)
	}
	return r
}

// Queues returns all queues, in any order.
func (r *Routes) Queues() iter.Seq[*Queue] {
	return func(yield func(*Queue) bool) {
		for _, queues := range r.byHost {
			for _, q := range queues {
				if !yield(q) {
					return
				}
			}
		}
	}
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

// JobIDLength is the number of hexadecimal digits of a job's ID.
const JobIDLength = 16

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
	if len(id) != JobIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
