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

// ReadRows implements control.Ports.
func (e *effects) ReadRows(effect ownership.ReadRows) {
	e.start(func(ctx context.Context) {
		answer := e.ledger.Read(ctx, e.self, effect)
		e.loop.HandlePlatform(answer.OK)
		e.loop.HandleOwnershipRows(answer)
	})
}

// CommitRows implements control.Ports.
func (e *effects) CommitRows(effect ownership.CommitRows) {
	e.start(func(ctx context.Context) {
		transaction := e.ledger.Encode(effect)
		outcome := ownerstore.OutcomeOf(e.platform.Commit(ctx, transaction))
		if outcome == ownership.Unavailable {
			e.loop.HandleCommitUnavailable(effect.ID, transaction)
			return
		}
		e.loop.HandleOwnershipCommit(ownership.CommitResponse{ID: effect.ID, Outcome: outcome})
	})
}

// relayedPrefixes are the keys that a host may have written through a peer: its lease
// and what it owns.
var relayedPrefixes = []string{"lease/", "owner/"}

// RelayCommit implements control.Ports.
func (e *effects) RelayCommit(from core.HostID, id uint64, transaction core.Transaction) {
	e.start(func(ctx context.Context) {
		answer := message.RelayResponse{ID: id}
		if !relayable(transaction) {
			e.log.WithField("peer", from).Warn("peer asked to relay a write of foreign keys")
			e.node.Send(from, answer)
			return
		}
		err := e.platform.Commit(ctx, transaction)
		var conflict *platform.ConflictError
		answer.Committed = err == nil
		answer.Conflict = errors.As(err, &conflict)
		if answer.Committed {
			answer.Version = e.ledger.ReadBackVersion(ctx, transaction)
		}
		e.node.Send(from, answer)
	})
}

// relayable reports whether the transaction writes only keys that may be relayed.
func relayable(transaction core.Transaction) bool {
	for _, write := range transaction.Writes {
		allowed := false
		for _, prefix := range relayedPrefixes {
			allowed = allowed || strings.HasPrefix(write.Key, prefix)
		}
		if !allowed {
			return false
		}
	}
	return true
}
