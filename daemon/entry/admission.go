package entry

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// admit checks a job against the configuration and the capacity of this entry.
// A draining entry still accepts jobs while it waits for the balancer.
func (s *Service) admit(r job.Record) *verdict.Error {
	if !s.members.LeaseValid() {
		return verdict.Errorf(verdict.CodeUnavailable, verdict.NotRun, "the entry's lease has lapsed").WithRetryAfter(time.Second)
	}
	return s.admitCall(r)
}

// admitCall checks a call that needs no record. It needs no lease either, so
// that such calls continue while control has no majority.
func (s *Service) admitCall(r job.Record) *verdict.Error {
	replica := s.members.Replica()
	if replica.Revision == 0 {
		return verdict.Errorf(verdict.CodeUnavailable, verdict.NotRun, "the entry has no configuration yet").WithRetryAfter(time.Second)
	}
	service, err := findService(replica, r.Service)
	if err != nil {
		return err
	}
	kinds, err := countKinds(service, r.Tasks)
	if err != nil {
		return err
	}
	quota := replica.Config.Quotas[r.Key.Caller].MaxTasks
	return s.dispatcher.admit(r.Key.Caller, r.Service, kinds, r.Deadline, quota)
}

func findService(r *state.Replica, name string) (state.Service, *verdict.Error) {
	service, ok := r.Config.Services[name]
	if !ok || service.Removed {
		return service, verdict.Errorf(verdict.CodeNotFound, verdict.NotRun, "no service %q", name)
	}
	return service, nil
}

func findKind(s state.Service, name string) (state.Kind, *verdict.Error) {
	kind, ok := s.Kind(name)
	if !ok {
		return kind, verdict.Errorf(verdict.CodeNotFound, verdict.NotRun, "service %q has no kind %q", s.Name, name)
	}
	return kind, nil
}

func countKinds(s state.Service, tasks []job.Task) ([]dispatch.KindCount, *verdict.Error) {
	var list []dispatch.KindCount
	position := map[string]int{}
	for _, t := range tasks {
		if i, seen := position[t.Kind]; seen {
			list[i].Count++
			continue
		}
		kind, err := findKind(s, t.Kind)
		if err != nil {
			return nil, err
		}
		position[t.Kind] = len(list)
		list = append(list, kindCount(kind))
	}
	return list, nil
}

func kindCount(k state.Kind) dispatch.KindCount {
	return dispatch.KindCount{
		Kind:     k.Name,
		Count:    1,
		Needs:    k.Needs,
		Declared: time.Duration(k.ExpectedMS) * time.Millisecond,
	}
}
