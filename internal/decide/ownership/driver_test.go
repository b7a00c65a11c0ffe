package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// driver runs one machine step by step against a table and answers at once, except for
// transactions that are intercepted.
type driver struct {
	*Machine
	table     *table
	at        time.Time
	away      bool                  // the platform answers nothing
	intercept func(CommitRows) bool // reports that a transaction gets no answer for now
	held      []CommitRows          // intercepted transactions
	lost      []core.TargetID
}

func newDriver(id core.HostID, t *table, targets []core.TargetID, live ...core.HostID) *driver {
	d := &driver{
		Machine: New(id, core.SessionID("s-"+id), DefaultTiming()), table: t, at: epochStart,
		intercept: func(CommitRows) bool { return false },
	}
	d.SetLiveHosts(live, d.at)
	d.handle(d.SetTargets(targets, d.at))
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
	answer := ReadResponse{ID: effect.ID, OK: !d.away}
	if answer.OK {
		d.table.readOwners(&answer)
		d.table.readLeases(&answer)
	}
	d.handle(d.HandleRows(answer, d.at))
}

func (d *driver) commitRows(effect CommitRows) {
	if d.intercept(effect) {
		d.held = append(d.held, effect)
		return
	}
	outcome := Unavailable
	if !d.away {
		outcome = d.table.commit(effect)
	}
	d.handle(d.HandleCommit(CommitResponse{ID: effect.ID, Outcome: outcome}, d.at))
}

// run ticks every quarter of a second.
func (d *driver) run(length time.Duration) {
	for end := d.at.Add(length); d.at.Before(end); {
		d.at = d.at.Add(stepLength)
		d.handle(d.Tick(d.at))
	}
}

func (d *driver) owns(target core.TargetID) bool {
	_, owns := d.Owns(target, d.at)
	return owns
}
