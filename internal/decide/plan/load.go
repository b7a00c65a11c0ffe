package plan

import "siskintide.example/siskintide/internal/core"

// Load is what is known about the load of targets and about entry hosts. Targets that are
// missing have an unknown load.
type Load struct {
	Targets []TargetLoad `json:"targets"`
	Hosts   []HostLoad   `json:"hosts"`
}

func (l Load) byTarget() map[core.TargetID]TargetLoad {
	known := make(map[core.TargetID]TargetLoad, len(l.Targets))
	for _, target := range l.Targets {
		known[target.Target] = target
	}
	return known
}
