package leader

import (
	"context"
	"fmt"
	"time"

	"bramblespur/internal/controller/clusterview"
	"bramblespur/internal/fleet"
	"bramblespur/internal/record"
	"bramblespur/internal/statestore"
	"bramblespur/internal/wire"
)

// standaloneAfter is how long after the leader's last contact an owner plans for itself.
const standaloneAfter = 3 * time.Second

// standalone is the state of scale out without contact to the leader. If the leader does not reach
// an owner, as when connections between controllers are refused, the owner plans for its own shards
// and records the provisions that it needs. The leader finds these records in its view and carries
// them out like its own, so that only the leader calls the cloud.
//
// The shards' lock guards it.
type standalone struct {
	leaderContactAt time.Time                         // when the leader last reached this controller
	sequence        int                               // numbers the provisions, so that names are not reused under one token
	planner         *fleet.Planner                    // nil while the leader reaches this controller
	requested       map[string]fleet.ProvisionRequest // recorded provisions without an answer of the leader, by name
}

// RecordLeaderContactLocked records that the leader reached this controller.
func (l *Leader) RecordLeaderContactLocked(now time.Time) { l.standalone.leaderContactAt = now }

// PlanStandalone plans for the shards hosted here if the leader has not reached this controller for
// standaloneAfter. It must be called without the shards' lock, once per turn.
func (l *Leader) PlanStandalone(ctx context.Context, now time.Time) {
	l.host.Lock()
	defer l.host.Unlock()
	s := &l.standalone
	if !l.host.MayPlanLocked(now) || l.host.IsLeaderLocked(now) || now.Sub(s.leaderContactAt) < standaloneAfter {
		s.planner, s.requested = nil, nil
		return
	}
	if s.planner == nil {
		s.planner, s.requested = fleet.NewPlanner(l.plannerConfigLocked()), map[string]fleet.ProvisionRequest{}
		return // plan in the next turn, since the leader may just have changed
	}
	s.applyAnswers(l.host.FleetLocked(), now)
	summaries := l.host.SummariesLocked(now)
	l.addPendingMachinesLocked(summaries, nil)
	orders, requests := s.planner.Plan(summaries, now)
	for _, o := range orders {
		if _, hosted := l.host.TokenLocked(o.To); o.To == fleet.ReleaseToCloud || hosted {
			l.host.OrderLocked(o, now)
		}
	}
	for _, r := range requests {
		if len(s.requested) < concurrentProvisions {
			l.requestProvisionLocked(ctx, r)
		}
	}
}

// applyAnswers reports to the planner the requested provisions that were granted or refused
// according to their records, and removes them from requested.
func (s *standalone) applyAnswers(machines *clusterview.Machines, now time.Time) {
	for name, r := range s.requested {
		rec, ok := machines.Provision(name)
		switch {
		case ok && len(rec.IDs) == 0:
			continue // the leader has not answered yet
		case ok && len(rec.IDs) == len(r.Shards):
			s.planner.CapacityGranted(r)
		default:
			s.planner.CapacityRefused(r, now)
		}
		delete(s.requested, name)
	}
}

// requestProvisionLocked begins to record a provision for the leader to carry out, on condition that
// the first of its shards is still owned under the same token.
func (l *Leader) requestProvisionLocked(ctx context.Context, r fleet.ProvisionRequest) {
	shard := r.Shards[0]
	token, hosted := l.host.TokenLocked(shard)
	if !hosted {
		return
	}
	l.standalone.sequence++
	name := fmt.Sprintf("%s-%d-alone-%d", l.cfg.Label, token, l.standalone.sequence)
	rec := record.Provision{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Shards: r.Shards}
	t := wire.Txn{
		If:   []wire.Condition{{Key: record.ProvisionKey(name)}, {Key: record.ShardKey(shard), Version: token}},
		Then: []wire.Op{{Put: record.ProvisionKey(name), Value: record.Encode(rec)}},
	}
	requested := l.standalone.requested
	requested[name] = r
	l.log.Info("provision requested", "name", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "machines", len(r.Shards))
	go func() {
		rev, err := l.host.Store().Txn(ctx, statestore.Urgent("rental"), t)
		l.host.Lock()
		defer l.host.Unlock()
		if err != nil {
			delete(requested, name) // if the record was written nevertheless, it arrives through the watch
			return
		}
		l.host.ApplyOwnWritesLocked(t, rev, time.Now())
	}()
}
