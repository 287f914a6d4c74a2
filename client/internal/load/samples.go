package load

import (
	"bufio"
	"encoding/json"
	"os"
	"time"
)

// sampleRecord is one line of a file of samples: a request as a JSON object.
type sampleRecord struct {
	ID     string `json:"id"`
	Stream string `json:"stream"`
	// SentUS is the intended send time, in microseconds since 1970.
	SentUS      int64   `json:"sent_us"`
	SendDelayUS int64   `json:"late_us"`
	ResponseUS  int64   `json:"response_us"`
	Ratio       float64 `json:"ratio"`
	Tasks       int     `json:"tasks"`
	Worker      string  `json:"worker"`
	State       State   `json:"state"`
	Code        string  `json:"code,omitempty"`
}

// writeSamples writes the samples of a run that began at started.
func writeSamples(name string, p *Profile, started time.Time, samples []*Sample) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer file.Close()
	buffer := bufio.NewWriter(file)
	out := json.NewEncoder(buffer)
	for _, s := range samples {
		err := out.Encode(sampleRecord{
			ID:          s.Request.ID,
			Stream:      s.Request.Stream.Name,
			SentUS:      started.Add(s.Request.SendOffset).UnixMicro(),
			SendDelayUS: s.SendDelay.Microseconds(),
			ResponseUS:  s.Response.Microseconds(),
			Ratio:       s.Response.Seconds() / s.Request.IdealSeconds(p),
			Tasks:       len(s.Request.Tasks),
			Worker:      s.Worker,
			State:       s.state,
			Code:        s.code,
		})
		if err != nil {
			return err
		}
	}
	return buffer.Flush()
}
