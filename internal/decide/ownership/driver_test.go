package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// driver runs one machine step by step against a fake table. It answers each effect at
// once, except for intercepted transactions.
type driver struct {
	*Machine
	table       *table
	now         time.Time
	unavailable bool                  // the platform answers nothing
	intercept   func(CommitRows) bool // reports whether a transaction is held back
	intercepted []CommitRows
	lost        []core.TargetID
}

func newDriver(id core.HostID, t *table, targets []core.TargetID, live ...core.HostID) *driver {
	d := &driver{
		Machine: New(id, core.SessionID("s-"+id), DefaultTiming()), table: t, now: startTime,
		intercept: func(CommitRows) bool { return false },
	}
	d.SetLiveHosts(live, d.now)
	d.handle(d.SetTargets(targets, d.now))
	return d
}

func (d *driver) handle(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ReadRows:
			d.read(e)
		case CommitRows:
			d.commitRows(e)
		case Lost:
			d.lost = append(d.lost, e.Target)
		}
	}
}

func (d *driver) read(effect ReadRows) {
	response := ReadResponse{ID: effect.ID, OK: !d.unavailable}
	if response.OK {
		d.table.readOwners(&response)
		d.table.readLeases(&response)
	}
	d.handle(d.HandleRows(response, d.now))
}

func (d *driver) commitRows(effect CommitRows) {
	if d.intercept(effect) {
		d.intercepted = append(d.intercepted, effect)
		return
	}
	outcome := Unavailable
	if !d.unavailable {
		outcome = d.table.commit(effect)
	}
	d.handle(d.HandleCommit(CommitResponse{ID: effect.ID, Outcome: outcome}, d.now))
}

// run advances the time and ticks at every stepLength.
func (d *driver) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(stepLength)
		d.handle(d.Tick(d.now))
	}
}

func (d *driver) owns(target core.TargetID) bool {
	_, owns := d.Owns(target, d.now)
	return owns
}
