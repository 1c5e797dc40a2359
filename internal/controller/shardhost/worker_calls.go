package shardhost

import (
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// socketsPerCommand is the number of sockets for each direct command that may be under way. Many commands to machines that hang must leave sockets for
// peers and the state service.
const socketsPerCommand = 16

// probeMachine requests a heartbeat from a worker and passes it to the shard, or nil if the worker
// gave no valid response.
func (h *Host) probeMachine(shard *scheduler.Shard, probe scheduler.Probe) {
	heartbeat, err := h.env.Agents().RequestHeartbeat(h.env.Lifetime(), probe.Addr)
	err = h.checkHeartbeat(&heartbeat, probe.Machine, err)
	if err != nil {
		h.log.Debug("probe failed", "machine", probe.Machine, "err", err)
	}
	h.Update(shard, func(now time.Time) {
		if err != nil {
			shard.ProbeDone(probe.Machine, nil, now)
			return
		}
		shard.ProbeDone(probe.Machine, &heartbeat, now)
	})
}

// sendCommands sends a direct command to a worker and reports the outcome to the shard. It waits
// for one of the command slots first.
func (h *Host) sendCommands(shard *scheduler.Shard, command scheduler.DirectCommand) {
	h.commandSlots <- struct{}{}
	heartbeat, executed, err := h.env.Agents().SendCommands(h.env.Lifetime(), command.Addr, command.Orders)
	<-h.commandSlots
	err = h.checkHeartbeat(&heartbeat, command.Machine, err)
	if err != nil {
		h.log.Debug("direct command failed", "machine", command.Machine, "err", err)
	}
	h.Update(shard, func(now time.Time) {
		shard.CommandDone(command, commandOutcome(executed, err), now)
		if err == nil {
			shard.Heartbeat(&heartbeat, true, now)
		}
	})
}

// commandOutcome returns the outcome of a direct command from the worker's response, or from the error
// of the call.
func commandOutcome(executed bool, err error) scheduler.CommandOutcome {
	switch {
	case errors.Is(err, httpwire.ErrNotSent):
		return scheduler.NotSent
	case err != nil:
		return scheduler.NoAnswer
	case executed:
		return scheduler.Executed
	}
	return scheduler.Refused
}

// checkHeartbeat returns the error of a call to a worker, or if that is nil, an error if the
// heartbeat is malformed or names another machine.
func (h *Host) checkHeartbeat(heartbeat *wire.Heartbeat, machine string, err error) error {
	err = h.env.CheckResponse(machine, err, heartbeat.Check)
	if err == nil && heartbeat.Machine != machine {
		return fmt.Errorf("heartbeat names machine %s, want %s", heartbeat.Machine, machine) // the address has passed to another machine
	}
	return err
}
