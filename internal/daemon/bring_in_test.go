package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/engine"
)

// engineSnapshot is what one engine reports of its versions and its streams. Versions are read
// before streams. Otherwise a stream that ended between the two reads would look as if its
// version had been unloaded under it.
type engineSnapshot struct {
	versions map[core.ModelVersion]string // state of each version
	streams  int
}

// readEngines reads the state and the load of all engines.
func (d *deployment) readEngines(client *engine.Client) ([]engineSnapshot, error) {
	var views []engineSnapshot
	for _, server := range d.engines {
		state, err := client.State(context.Background(), address(server))
		if err != nil {
			return nil, err
		}
		load, err := client.LoadReport(context.Background(), "", address(server))
		if err != nil {
			return nil, err
		}
		view := engineSnapshot{streams: len(load.Streams), versions: map[core.ModelVersion]string{}}
		for _, m := range state.Models {
			view.versions[m.Version] = m.State
		}
		views = append(views, view)
	}
	return views, nil
}

// ownerOf returns the host that owns a target.
func (d *deployment) ownerOf(target core.TargetID) *runningHost {
	d.t.Helper()
	var owner core.HostID
	d.eventually("owner known", func() bool {
		status, err := d.operatorClient().Status(context.Background())
		if err != nil {
			d.t.Log(err)
			return false
		}
		for _, s := range status.Targets {
			if s.Target == target {
				owner = s.Owner
			}
		}
		return owner != ""
	})
	for _, h := range d.hosts {
		if h.settings.Host == owner {
			return h
		}
	}
	return nil
}

// TestBringIn brings in a new model version on two engines whose owner leaves during the
// first load, so that another host must finish the change. A running stream of the former
// version must be complete, its version must stay loaded until the stream has ended, and the
// engines must not load at the same time.
func TestBringIn(t *testing.T) {
	for name, c := range map[string]struct {
		fences bool
		weight int
	}{
		"both versions fit, fences ignored": {false, 2000},
		"one version fits, fences checked":  {true, 1500},
	} {
		t.Run(name, func(t *testing.T) {
			atStart := goleak.IgnoreCurrent()
			t.Cleanup(func() { goleak.VerifyNone(t, atStart) })
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			d := &deployment{t: t, fences: c.fences, weight: c.weight, stepBase: 10 * time.Millisecond}
			d.start(2)
			engines := engine.NewClient(client)

			response, err := client.Do(request(t, d.hosts[0], "Draft. [[length=400]]", ""))
			require.NoError(t, err)
			defer response.Body.Close()
			events := newEvents(response.Body)
			first, _, _ := events.read(1)
			d.confirm(plan.Intent{Kind: plan.BringIn, Model: "manus-llm", Version: "v2"})

			owner, former := d.ownerOf("e1"), -1
			stopped, violation := false, ""
			d.eventually("new version ready on both engines", func() bool {
				views, err := d.readEngines(engines)
				if err != nil {
					t.Log(err) // a wait must not end the test from its own goroutine
					return false
				}
				loading, done := 0, 0
				for i, view := range views {
					if former < 0 && view.streams > 0 {
						former = i
					}
					if view.versions["v2"] == "loading" {
						loading++
					}
					if view.versions["v2"] == "ready" && len(view.versions) == 1 {
						done++
					}
					if i == former && view.streams > 0 {
						if _, loaded := view.versions["v1"]; !loaded {
							violation = "the former version was unloaded under a running stream"
						}
					}
				}
				if overlap := d.loads.violation(); overlap != "" {
					violation = "two engines load at a time: " + overlap
				}
				if loading >= 1 && !stopped {
					stopped = true
					owner.stop()
				}
				return violation != "" || done == len(d.engines)
			})
			require.Empty(t, violation)
			require.Empty(t, d.loads.violation())
			require.True(t, stopped)
			require.GreaterOrEqual(t, former, 0)
			rest, _, done := events.read(0)
			require.True(t, done)
			require.Len(t, append(first, rest...), 400)
			for _, h := range d.hosts {
				require.NoError(t, h.end())
			}
		})
	}
}
