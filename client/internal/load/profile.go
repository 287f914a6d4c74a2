package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
)

// Forms of requests.
const (
	// FormCall is POST /v1/call with one task.
	FormCall = "call"
	// FormJob is POST /v1/jobs?wait=1.
	FormJob = "job"
)

// maxTasksPerJob is the size of the largest job in the users' target.
const maxTasksPerJob = 790

// Profile describes a fleet of workers and the work that its callers send.
type Profile struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Speeds lists the speed of each worker's endpoint.
	Speeds []float64 `json:"speeds"`
	// Slots is the number of slots of each worker.
	Slots   int      `json:"slots"`
	Bursts  Bursts   `json:"bursts"`
	Streams []Stream `json:"streams"`
}

// Bursts are periods in which the arrival rate is multiplied by Factor. The total
// load of a run does not change. Times are in milliseconds.
type Bursts struct {
	EveryMS  float64 `json:"every_ms"`
	LengthMS float64 `json:"length_ms"`
	Factor   float64 `json:"factor"`
}

// Stream is a sequence of similar requests of one caller.
type Stream struct {
	Name   string `json:"name"`
	Caller string `json:"caller"`
	Form   string `json:"form"`
	// Share is the stream's fraction of the offered work; the fractions of all
	// streams add up to 1.
	Share      float64 `json:"share"`
	DeadlineMS int64   `json:"deadline_ms"`
	// Checkout marks a stream of quotes that a customer waits for.
	Checkout bool `json:"checkout"`
	// AtMostOnce marks a stream whose tasks must not start twice, even as calls.
	AtMostOnce bool           `json:"once"`
	Tasks      LogUniform     `json:"tasks"`
	Kinds      []WeightedKind `json:"kinds"`
}

// WeightedKind is a kind with its weight among the tasks of a stream.
type WeightedKind struct {
	Kind   string  `json:"kind"`
	Weight float64 `json:"weight"`
	// WorkMS is the run time at speed 1, in milliseconds.
	WorkMS LogUniform `json:"work_ms"`
}

// LogUniform is a log-uniform distribution from Min to Max: small values are more
// frequent.
type LogUniform struct {
	Min float64 `json:"min"`
	Max float64 `json:"max"`
}

// quantile returns the value at quantile q, from 0 to 1.
func (d LogUniform) quantile(q float64) float64 {
	if d.Max <= d.Min {
		return d.Min
	}
	return d.Min * math.Exp(q*math.Log(d.Max/d.Min))
}

// mean returns the mean of the distribution.
func (d LogUniform) mean() float64 {
	if d.Max <= d.Min {
		return d.Min
	}
	return (d.Max - d.Min) / math.Log(d.Max/d.Min)
}

// ReadProfile reads and validates a profile file.
func ReadProfile(name string) (*Profile, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read profile: %w", err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	p := &Profile{}
	if err := dec.Decode(p); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

func (p *Profile) validate() error {
	if p.Name == "" || p.Service == "" || len(p.Speeds) == 0 || p.Slots < 1 {
		return fmt.Errorf("name, service, speeds and slots are required")
	}
	total := 0.0
	for i, s := range p.Streams {
		if err := s.validate(); err != nil {
			return fmt.Errorf("streams[%d]: %w", i, err)
		}
		total += s.Share
	}
	if math.Abs(total-1) > 0.001 {
		return fmt.Errorf("streams: the shares add up to %.3f instead of 1", total)
	}
	return nil
}

func (s *Stream) validate() error {
	if s.Name == "" || s.Caller == "" || s.DeadlineMS <= 0 || s.Share <= 0 {
		return fmt.Errorf("name, caller, deadline_ms and share are required")
	}
	if s.Form != FormCall && s.Form != FormJob {
		return fmt.Errorf("form: %q is neither call nor job", s.Form)
	}
	if s.Tasks.Min < 1 || s.Tasks.Max > maxTasksPerJob || (s.Form == FormCall && s.Tasks.Max > 1) {
		return fmt.Errorf("tasks: must be 1 for calls and 1 to %d for jobs", maxTasksPerJob)
	}
	if len(s.Kinds) == 0 {
		return fmt.Errorf("kinds is required")
	}
	for i, k := range s.Kinds {
		if k.Kind == "" || k.Weight <= 0 || k.WorkMS.Min <= 0 {
			return fmt.Errorf("kinds[%d]: kind, weight and work_ms are required", i)
		}
	}
	return nil
}

// MeanSpeed is the mean of the endpoints' speeds.
func (p *Profile) MeanSpeed() float64 {
	total := 0.0
	for _, s := range p.Speeds {
		total += s
	}
	return total / float64(len(p.Speeds))
}

// TotalSlots is the number of slots of all workers.
func (p *Profile) TotalSlots() int { return len(p.Speeds) * p.Slots }

// Capacity is the work that all slots do per second, in seconds at speed 1.
func (p *Profile) Capacity() float64 { return p.MeanSpeed() * float64(p.TotalSlots()) }

// meanWorkSeconds returns the mean work of a request, in seconds at speed 1.
func (s *Stream) meanWorkSeconds() float64 {
	weights, work := 0.0, 0.0
	for _, k := range s.Kinds {
		weights += k.Weight
		work += k.Weight * k.WorkMS.mean()
	}
	return s.Tasks.mean() * work / weights / 1000
}

// drawTask draws the kind and the work of a task.
func (s *Stream) drawTask(r *rand.Rand) Task {
	total := 0.0
	for _, k := range s.Kinds {
		total += k.Weight
	}
	point := r.Float64() * total
	chosen := s.Kinds[len(s.Kinds)-1]
	for _, k := range s.Kinds {
		if point < k.Weight {
			chosen = k
			break
		}
		point -= k.Weight
	}
	return Task{Kind: chosen.Kind, WorkMS: math.Round(chosen.WorkMS.quantile(r.Float64()))}
}
