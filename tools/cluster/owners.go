package cluster

import (
	"encoding/json"
	"fmt"
)

// owners returns the owner of each target as the status command reports it, and whether the
// owner has a limit for the target and so may send work to it.
func (d *Deployment) owners() (map[string]string, map[string]bool, error) {
	output, err := d.RunCLI("status", "--output", "json")
	if err != nil {
		return nil, nil, err
	}
	var status struct {
		Targets []struct {
			Target string `json:"target"`
			Owner  string `json:"owner"`
			Limit  int    `json:"limit"`
		} `json:"targets"`
	}
	if err := json.Unmarshal([]byte(output), &status); err != nil {
		return nil, nil, fmt.Errorf("read status: %w", err)
	}
	owners, usable := map[string]string{}, map[string]bool{}
	for _, target := range status.Targets {
		owners[target.Target] = target.Owner
		usable[target.Target] = target.Limit > 0
	}
	return owners, usable, nil
}

// OwnerOf returns the host that owns a target.
func (d *Deployment) OwnerOf(target string) (string, error) {
	owners, _, err := d.owners()
	if err != nil {
		return "", err
	}
	if owners[target] == "" {
		return "", &StepError{Step: "owner of " + target, Reason: "the status reports no owner"}
	}
	return owners[target], nil
}

// WaitForOwners waits until every target has an owner that can send work to it.
func (d *Deployment) WaitForOwners() error {
	return WaitFor("targets to be owned", func() bool {
		owners, usable, err := d.owners()
		if err != nil {
			return false
		}
		for _, t := range d.Targets {
			if owners[t.Name] == "" || !usable[t.Name] {
				return false
			}
		}
		return true
	})
}

// Target returns a target by its name, or nil.
func (d *Deployment) Target(name string) *Target {
	for _, t := range d.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}
