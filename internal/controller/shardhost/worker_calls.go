package shardhost

import (
	"errors"
	"fmt"
	"time"

	"bramblespur/internal/httpwire"
	"bramblespur/internal/scheduler"
	"bramblespur/internal/wire"
)

// socketsPerCommand: one in so many sockets may be used by a direct command. A wave of them to
// machines that hang must leave sockets for peers and the state service.
const socketsPerCommand = 16

// probeMachine asks a worker for its heartbeat and tells the shard.
func (h *Host) probeMachine(shard *scheduler.Shard, probe scheduler.Probe) {
	heartbeat, err := h.env.Agents().Show(h.env.Lifetime(), probe.Addr)
	err = h.checkHeartbeat(&heartbeat, probe.Machine, err)
	if err != nil {
		h.log.Debug("probe failed", "machine", probe.Machine, "err", err)
	}
	h.Update(shard, func(now time.Time) {
		if err != nil {
			shard.ProbeAnswered(probe.Machine, nil, now)
			return
		}
		shard.ProbeAnswered(probe.Machine, &heartbeat, now)
	})
}

// sendCommands sends commands straight to a worker and tells the shard what came of it.
func (h *Host) sendCommands(shard *scheduler.Shard, push scheduler.DirectCommand) {
	h.commandSlots <- struct{}{}
	heartbeat, executed, err := h.env.Agents().Command(h.env.Lifetime(), push.Addr, push.Orders)
	<-h.commandSlots
	err = h.checkHeartbeat(&heartbeat, push.Machine, err)
	if err != nil {
		h.log.Debug("direct command failed", "machine", push.Machine, "err", err)
	}
	h.Update(shard, func(now time.Time) {
		shard.CommandDone(push, pushOutcome(executed, err), now)
		if err == nil {
			shard.Heartbeat(&heartbeat, true, now)
		}
	})
}

// pushOutcome returns what a worker's response, or an error in its place, says of a command.
func pushOutcome(executed bool, err error) scheduler.CommandOutcome {
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

// checkHeartbeat returns err, or else what is wrong with a heartbeat as a machine's response.
func (h *Host) checkHeartbeat(heartbeat *wire.Heartbeat, machine string, err error) error {
	err = h.env.CheckResponse(machine, err, heartbeat.Check)
	if err == nil && heartbeat.Machine != machine {
		return fmt.Errorf("%s answers for %s", heartbeat.Machine, machine) // another has its address by now
	}
	return err
}
