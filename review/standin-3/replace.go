package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["replace-core"] = replaceCore
	cases["replace-two"] = replaceTwo
}

// replaceTwo is replaceCore with a second planned replacement in place of the lost disk.
func replaceTwo(s *system, trouble bool) (int, error) { return s.replace(trouble, true) }

// replaceCore: a machine of the core is replaced as planned, and another one loses its disk after
// that.
func replaceCore(s *system, trouble bool) (int, error) { return s.replace(trouble, false) }

func (s *system) replace(trouble, both bool) (int, error) {
	if err := s.start(3, 3, 5, workerOptions{cpu: 16000, memMB: 32768}); err != nil {
		return failed, err
	}
	if err := s.configure(route("lohu930", 1500, 4)); err != nil {
		return failed, err
	}
	if err := s.awaitService("lohu930"); err != nil {
		return failed, err
	}
	const (
		catchUp  = 4 * time.Second
		pause    = 2 * time.Second
		dark     = time.Second
		recovery = 12 * time.Second
		finish   = 14 * time.Second
		jobs     = 5
	)
	var ids []string
	for i := range jobs {
		id := newID()
		a := s.post(s.entries[i%3], "lohu930", id, job{spec: "300", tasks: []int{2}, estimate: 300, cpu: 1600}, 1500*time.Millisecond)
		s.rec.notef("POST %s: %d %s", id, a.status, a.body)
		if a.status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return failed, fmt.Errorf("no job was accepted")
	}
	old, lost := s.controls[2], s.controls[0]
	if trouble {
		successor := s.newProcess("control", "core-4", s.base+"4", zones[2])
		s.rec.notef("the successor %s starts with an empty disk", successor.name)
		if err := successor.start(false); err != nil {
			return failed, err
		}
		s.controls = append(s.controls, successor)
		if both {
			second := s.newProcess("control", "core-5", s.base+"5", zones[0])
			s.rec.notef("the successor %s starts with an empty disk", second.name)
			if err := second.start(false); err != nil {
				return failed, err
			}
			s.controls = append(s.controls, second)
		}
		time.Sleep(catchUp + 2*time.Second)
		old.signal(syscall.SIGTERM)
		for old.running() {
			time.Sleep(10 * time.Millisecond)
		}
		s.rec.notef("%s has ended after SIGTERM, for good", old.name)
		s.retired = append(s.retired, old)
		s.controls = append(s.controls[:2:2], s.controls[3:]...)
		time.Sleep(pause)
	}
	// A change is acknowledged by the machine that then loses its disk.
	if err := s.configure(route("lohu930", 1500, 4), route("pule252", 1500, 4)); err != nil {
		return failed, err
	}
	if trouble && both {
		lost.signal(syscall.SIGTERM)
		for lost.running() {
			time.Sleep(10 * time.Millisecond)
		}
		s.rec.notef("%s has ended after SIGTERM, for good", lost.name)
		s.retired = append(s.retired, lost)
		s.controls = s.controls[1:]
	}
	if trouble && !both {
		lost.kill()
		if err := os.RemoveAll(filepath.Join(s.dir, lost.name+"-data")); err != nil {
			return failed, err
		}
		s.rec.notef("%s has lost its disk", lost.name)
		time.Sleep(dark)
		if err := lost.start(false); err != nil {
			return failed, err
		}
		s.rec.notef("%s is back with an empty disk; all machines are back", lost.name)
	}
	time.Sleep(recovery)
	s.rec.notef("recovery_s is over")
	end := time.Now().Add(finish)
	read := false
	for time.Now().Before(end) && !read {
		for _, c := range s.controls {
			a := call(http.MethodGet, "http://"+c.ip+":8166/cicadapulley/config", "", nil, time.Second, 0)
			s.rec.notef("GET config at %s: %d %.80s", c.name, a.status, a.body)
			if a.status == http.StatusOK && strings.Contains(a.body, fmt.Sprintf(`"version":%d`, s.version)) {
				read = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	known := 0
	for _, id := range ids {
		for _, e := range s.entries {
			a := s.request(e, http.MethodGet, "lohu930", id, 1500*time.Millisecond)
			s.rec.notef("GET %s at %s: %d %s", id, e.name, a.status, a.body)
			if a.status == http.StatusOK && strings.Contains(a.body, "completed") {
				known++
				break
			}
		}
	}
	breaks := len(ids) - known
	if !read {
		breaks++
	}
	return s.verdict("LOST", breaks, fmt.Sprintf("the acknowledged configuration is read back: %t; %d of %d accepted jobs are known", read, known, len(ids))), nil
}
