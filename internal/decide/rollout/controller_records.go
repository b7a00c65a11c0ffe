package rollout

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// first returns the first record of a pool, which names the version in force.
func (c *Controller) first(s Situation) *core.RolloutRecord {
	current, ok := InitialVersion(s.Targets)
	if !ok {
		return nil
	}
	return &core.RolloutRecord{Sequence: 1, Current: current, Decider: c.self}
}

// begin returns the record that begins the rollout of a new order. If the store was restored from a copy and the
// operator has written the same order again, what is known of it stays in force.
func (c *Controller) begin(next core.RolloutRecord, s Situation) *core.RolloutRecord {
	if next.Phase != core.RolloutNone && next.To == s.Order.To && s.Order.Position.Era > next.Order.Era {
		next.Order = s.Order.Position
		return &next
	}
	next = core.RolloutRecord{
		Pool: next.Pool, Sequence: next.Sequence, Current: next.Current, To: s.Order.To, Order: s.Order.Position,
		Phase: core.RolloutProbing, StartedAt: s.StoreTime, Decider: c.self, Reserved: c.bounds.Allowance(0),
	}
	if next.To == next.Current {
		next.Phase, next.Reserved, next.Reason = core.RolloutCompleted, 0, "the version is in force already"
	}
	return &next
}

func describe(f *finding) string {
	where := "all routes"
	if f.route != "" {
		where = fmt.Sprintf("route %s", f.route)
	}
	return fmt.Sprintf("%s, %s: %d of %d answers, former version %d of %d, probability %.1e",
		f.measure, where, f.table.newBad, f.table.newAll, f.table.oldBad, f.table.oldAll, f.probability)
}

// end returns the record that ends the rollout.
func (c *Controller) end(next core.RolloutRecord, phase core.RolloutPhase, reason string) *core.RolloutRecord {
	next.Phase, next.Reason = phase, reason
	if phase == core.RolloutCompleted {
		next.Current = next.To
	}
	return c.fill(next)
}

// fill sets what is known of the rollout in a record.
func (c *Controller) fill(next core.RolloutRecord) *core.RolloutRecord {
	next.Judged, next.Failed = c.ledger.sum.judged, c.ledger.sum.failures
	next.Seen, next.Used = max(next.Seen, c.ledger.seen()), max(next.Used, c.ledger.used())
	next.Reserved = max(next.Reserved, c.reservable())
	return &next
}

// reservable returns the number of requests to the new version that the bounds allow by now.
func (c *Controller) reservable() uint64 {
	return c.bounds.Allowance(max(c.record.Seen, c.ledger.seen()))
}
