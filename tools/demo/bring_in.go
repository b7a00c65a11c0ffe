package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// bringInVersion rolls out a model version by a plan that is confirmed at once, and waits
// until every engine has loaded it and unloaded all others.
func (d *demo) bringInVersion() error {
	output, err := d.runCLI("bring-in", cluster.Model, "v2", "--yes")
	if err != nil {
		return err
	}
	printIndented(output)
	confirmed := time.Now()
	err = cluster.WaitFor("version v2 on every engine", func() bool {
		for _, t := range d.Targets {
			if t.Engine && !hasOnlyVersion(t.Address, "v2") {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	fmt.Printf("every engine has only v2 loaded %.1f s after the confirmation\n", time.Since(confirmed).Seconds())
	return nil
}

// hasOnlyVersion reports whether the version is ready on an engine and the only one there.
func hasOnlyVersion(address, version string) bool {
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
