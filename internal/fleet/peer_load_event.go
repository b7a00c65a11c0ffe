package fleet

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// peerLoadEvent brings another host's account of its work.
type peerLoadEvent struct {
	host  core.HostID
	loads map[core.TargetID]placement.Load
}

func (e peerLoadEvent) apply(s *state) { s.book.Peer(e.host, e.loads, s.now()) }
