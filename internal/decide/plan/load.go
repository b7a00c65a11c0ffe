package plan

import "siskintide.example/siskintide/internal/core"

// Load is the known load of targets and state of hosts. The load of a target that is
// missing is unknown.
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
