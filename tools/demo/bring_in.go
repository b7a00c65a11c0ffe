package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// bringIn brings a model version in by plan and confirm, and waits until every engine
// holds it and nothing else.
func (d *demo) bringIn() error {
	output, err := d.operate("bring-in", cluster.Model, "v2", "--yes")
	if err != nil {
		return err
	}
	show(output)
	confirmed := time.Now()
	err = cluster.WaitFor("version v2 on every engine", func() bool {
		for _, t := range d.Targets {
			if t.Engine && !holdsOnly(t.Address, "v2") {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	fmt.Printf("every engine holds v2 alone %.1f s after the confirmation\n", time.Since(confirmed).Seconds())
	return nil
}

// holdsOnly reports whether an engine holds one version, ready, and no other.
func holdsOnly(address, version string) bool {
	response, err := http.Get("http://" + address + "/v1/state")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var state struct {
		Models []struct {
			Version string `json:"version"`
			State   string `json:"state"`
		} `json:"models"`
	}
	if json.NewDecoder(response.Body).Decode(&state) != nil || len(state.Models) != 1 {
		return false
	}
	return state.Models[0].Version == version && state.Models[0].State == "ready"
}
