package routing

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

func requestOf(n uint64) core.TicketRequest {
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[:], n)
	return core.TicketRequest{Generation: id}
}

// counts calls Choose for 1000 generations and counts the chosen hosts.
func counts(candidates []Candidate) map[core.HostID]int {
	chosen := map[core.HostID]int{}
	for n := range uint64(1000) {
		host, ok := Choose(candidates, requestOf(n))
		if ok {
			chosen[host]++
		}
	}
	return chosen
}

func owner(host core.HostID, local bool, free int) Candidate {
	return Candidate{Host: host, Local: local, Accepts: true, Share: 1, FreeStreams: free, Targets: 1}
}

func TestChoose(t *testing.T) {
	out := owner("out", true, 50)
	out.Accepts = false
	stale := owner("stale", true, 10)
	stale.Age = 9 * time.Second
	returning := owner("returning", true, 10)
	returning.Share = 0.1
	cases := []struct {
		name       string
		candidates []Candidate
		atLeast    map[core.HostID]int
		never      []core.HostID
	}{
		{"no candidate", nil, nil, nil},
		{"data centre out", []Candidate{out, owner("b", false, 1)}, map[core.HostID]int{"b": 1000}, []core.HostID{"out"}},
		{"local first", []Candidate{owner("a", true, 1), owner("b", false, 50)}, map[core.HostID]int{"a": 1000}, nil},
		{"local full", []Candidate{owner("a", true, 0), owner("b", false, 1)}, map[core.HostID]int{"b": 1000}, nil},
		{"all full stays local", []Candidate{owner("a", true, 0), owner("b", false, 0)}, map[core.HostID]int{"a": 1000}, nil},
		{"more room", []Candidate{owner("a", true, 1), owner("b", true, 9)}, map[core.HostID]int{"b": 1000}, nil},
		{"stale summary", []Candidate{stale, owner("b", true, 5)}, map[core.HostID]int{"b": 1000}, nil},
		{"equal owners share", []Candidate{owner("a", true, 5), owner("b", true, 5)}, map[core.HostID]int{"a": 400, "b": 400}, nil},
		{"returning gradually", []Candidate{returning, owner("b", true, 5)}, map[core.HostID]int{"returning": 50, "b": 850}, nil},
		{"only the returning one", []Candidate{returning}, map[core.HostID]int{"returning": 1000}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			chosen := counts(tc.candidates)
			for host, least := range tc.atLeast {
				require.GreaterOrEqual(t, chosen[host], least)
			}
			for _, host := range tc.never {
				require.Zero(t, chosen[host])
			}
		})
	}
}

func TestOnePrefixGoesToOneOwnerWithRoom(t *testing.T) {
	candidates := []Candidate{owner("a", true, 5), owner("b", true, 5), owner("c", true, 5)}
	chosen := map[core.HostID]bool{}
	for n := range uint64(100) {
		request := requestOf(n)
		request.PrefixHash = 42
		host, _ := Choose(candidates, request)
		chosen[host] = true
	}
	require.Len(t, chosen, 1)
}
