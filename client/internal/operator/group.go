package operator

import (
	"context"
	"strings"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
)

// invalidChangePrefix is the start of the message with which the control VMs
// refuse a change that does not become possible by waiting.
const invalidChangePrefix = "invalid group change"

// AddVM adds a control VM as a learner without a vote and promotes it to a voter
// once it has caught up. It returns when the VM is a voter; if ctx ends first, the
// error has the exit code NotInForce.
func (c *Client) AddVM(ctx context.Context, id, address string) error {
	request := &rpc.ChangeGroupRequest{Id: id, Address: address}
	return c.changeGroup(ctx, request, func(vm *rpc.ControlVM) bool { return vm.GetVoter() && vm.Address == address })
}

// RemoveVM removes a control VM. It returns when the VM is out of the group.
func (c *Client) RemoveVM(ctx context.Context, id string) error {
	request := &rpc.ChangeGroupRequest{Id: id, Remove: true}
	return c.changeGroup(ctx, request, func(vm *rpc.ControlVM) bool { return vm == nil })
}

// changeGroup requests a change until done reports that the VM has the wanted
// state. The group is read before each request, because the answer to the last
// one may have been lost after the change was made.
func (c *Client) changeGroup(ctx context.Context, request *rpc.ChangeGroupRequest, done func(*rpc.ControlVM) bool) error {
	last := ""
	for ctx.Err() == nil || last == "" {
		step, err := c.changeStep(ctx, request, done)
		if err != nil && (ctx.Err() == nil || last == "") {
			return err
		}
		if err == nil && step == "" {
			return nil
		}
		if err == nil && step != last {
			c.progress("%s", step)
			last = step
		}
		sleep(ctx, pollInterval)
	}
	return exit.Errorf(exit.NotInForce, "control VM %s: %s", request.Id, last)
}

// changeStep reads the group and requests the change if it is not done. It
// returns what the change is waiting for, empty if it is done.
func (c *Client) changeStep(ctx context.Context, request *rpc.ChangeGroupRequest, done func(*rpc.ControlVM) bool) (string, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return "", err
	}
	vm := findVM(status, request.Id)
	if done(vm) {
		return "", nil
	}
	if err := checkChange(request, vm); err != nil {
		return "", err
	}
	message, err := c.requestChange(ctx, request)
	if err != nil {
		return "", err
	}
	return describeStep(request, vm, message), nil
}

// checkChange returns a readable error for a change that control would refuse or
// misinterpret.
func checkChange(request *rpc.ChangeGroupRequest, vm *rpc.ControlVM) error {
	if request.Remove && vm.GetLeader() {
		return exit.Errorf(exit.Failure, "control VM %s is the leader; stop it first, so that another VM is elected", request.Id)
	}
	if !request.Remove && vm != nil && vm.Address != request.Address {
		return exit.Errorf(exit.Failure, "control VM %s is in the group with the address %s; remove it first", request.Id, vm.Address)
	}
	return nil
}

// requestChange requests the change once. It returns why the change has to wait,
// empty if it was accepted.
func (c *Client) requestChange(ctx context.Context, request *rpc.ChangeGroupRequest) (string, error) {
	resp, err := c.Control.ChangeGroup(ctx, request)
	if err != nil {
		return "", callFailure("change group", err)
	}
	if strings.HasPrefix(resp.Message, invalidChangePrefix) {
		return "", exit.Errorf(exit.Failure, "change group: %s", resp.Message)
	}
	return resp.Message, nil
}

func findVM(s *rpc.StatusResponse, id string) *rpc.ControlVM {
	for _, vm := range s.Group {
		if vm.Id == id {
			return vm
		}
	}
	return nil
}

func describeStep(request *rpc.ChangeGroupRequest, vm *rpc.ControlVM, message string) string {
	switch {
	case message != "":
		return message
	case request.Remove:
		return "removal is proposed"
	case vm == nil:
		return "added as a learner; waiting until it has caught up"
	}
	return "promotion to a voter is proposed"
}
