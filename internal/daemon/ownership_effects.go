package daemon

import (
	"context"
	"errors"
	"strings"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/message"
	"siskintide.example/siskintide/internal/ownerstore"
	"siskintide.example/siskintide/internal/platform"
)

// ReadRows implements control.Effects.
func (e *effects) ReadRows(effect ownership.ReadRows) {
	e.start(func(ctx context.Context) {
		response := e.ownerStore.Read(ctx, e.self, effect)
		e.loop.HandlePlatform(response.OK)
		e.loop.HandleOwnershipRows(response)
	})
}

// CommitRows implements control.Effects.
func (e *effects) CommitRows(effect ownership.CommitRows) {
	e.start(func(ctx context.Context) {
		transaction := e.ownerStore.Encode(effect)
		outcome := ownerstore.OutcomeOf(e.platform.Commit(ctx, transaction))
		if outcome == ownership.Unavailable {
			e.loop.HandleCommitUnavailable(effect.ID, transaction)
			return
		}
		e.loop.HandleOwnershipCommit(ownership.CommitResponse{ID: effect.ID, Outcome: outcome})
	})
}

// relayableKeyPrefixes are the prefixes of the keys that a host may write through a peer: its
// lease and the ownership of targets.
var relayableKeyPrefixes = []string{"lease/", "owner/"}

// RelayCommit implements control.Effects.
func (e *effects) RelayCommit(from core.HostID, id uint64, transaction core.Transaction) {
	e.start(func(ctx context.Context) {
		response := message.RelayResponse{ID: id}
		if !relayable(transaction) {
			e.log.WithField("peer", from).Warn("peer asked to relay a write of foreign keys")
			e.node.Send(from, response)
			return
		}
		err := e.platform.Commit(ctx, transaction)
		var conflict *platform.ConflictError
		response.Committed = err == nil
		response.Conflict = errors.As(err, &conflict)
		if response.Committed {
			response.Version = e.ownerStore.ReadBackVersion(ctx, transaction)
		}
		e.node.Send(from, response)
	})
}

// relayable reports whether the transaction writes only keys that may be relayed.
func relayable(transaction core.Transaction) bool {
	for _, write := range transaction.Writes {
		allowed := false
		for _, prefix := range relayableKeyPrefixes {
			allowed = allowed || strings.HasPrefix(write.Key, prefix)
		}
		if !allowed {
			return false
		}
	}
	return true
}
