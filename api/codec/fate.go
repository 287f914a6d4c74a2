package codec

import (
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/tasktable"
)

// FateToRPC encodes an agent's answer about a task.
func FateToRPC(f tasktable.Fate) *rpc.TaskFate {
	switch f.Status {
	case tasktable.Started:
		return &rpc.TaskFate{Status: rpc.TaskFate_STATUS_STARTED}
	case tasktable.Ended:
		return &rpc.TaskFate{Status: rpc.TaskFate_STATUS_ENDED, Result: ResultToRPC(f.Result)}
	}
	return &rpc.TaskFate{Status: rpc.TaskFate_STATUS_DENIED}
}

// FateFromRPC decodes an agent's answer about a task; an unknown status becomes
// Started.
func FateFromRPC(f *rpc.TaskFate) tasktable.Fate {
	switch f.GetStatus() {
	case rpc.TaskFate_STATUS_ENDED:
		return tasktable.Fate{Status: tasktable.Ended, Result: ResultFromRPC(f.GetResult())}
	case rpc.TaskFate_STATUS_DENIED:
		return tasktable.Fate{Status: tasktable.Denied}
	}
	return tasktable.Fate{Status: tasktable.Started}
}
