package ownerstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/platform"
)

// Store reads and encodes the rows of one data centre. It is safe for concurrent use.
type Store struct {
	table      Table
	dataCentre core.DataCentreID
}

// New returns the ledger of a data centre.
func New(table Table, dataCentre core.DataCentreID) *Store {
	return &Store{table: table, dataCentre: dataCentre}
}

func (l *Store) leaseKey(host core.HostID) string {
	return "lease/" + string(l.dataCentre) + "/" + string(host)
}

func (l *Store) ownerKey(target core.TargetID) string {
	return "owner/" + string(l.dataCentre) + "/" + string(target)
}

// Read carries out a read for a host. The answer is not OK when the platform was not
// reached or a row is malformed.
func (l *Store) Read(ctx context.Context, self core.HostID, effect ownership.ReadRows) ownership.ReadResponse {
	answer := ownership.ReadResponse{ID: effect.ID}
	if err := l.read(ctx, self, effect.Scope, &answer); err != nil {
		return ownership.ReadResponse{ID: effect.ID}
	}
	answer.OK = true
	return answer
}

// read fills in the rows. Owners are read before leases: only so does a lease of another
// epoch prove that an owner row is void.
func (l *Store) read(ctx context.Context, self core.HostID, scope ownership.Scope, answer *ownership.ReadResponse) error {
	if scope == ownership.ReadOwnLease {
		row, err := l.table.Row(ctx, l.leaseKey(self))
		if err != nil || row.Version == 0 {
			return err
		}
		answer.Leases, err = decodeAll([]core.Row{row}, l.decodeLease)
		return err
	}
	owners, err := l.table.Rows(ctx, l.ownerKey(""))
	if err != nil {
		return err
	}
	leases, err := l.table.Rows(ctx, l.leaseKey(""))
	if err != nil {
		return err
	}
	if answer.Owners, err = decodeAll(owners, l.decodeOwner); err != nil {
		return err
	}
	answer.Leases, err = decodeAll(leases, l.decodeLease)
	return err
}

func decodeAll[T any](rows []core.Row, decode func(core.Row) (T, error)) ([]T, error) {
	decoded := make([]T, 0, len(rows))
	for _, row := range rows {
		one, err := decode(row)
		if err != nil {
			return nil, err
		}
		decoded = append(decoded, one)
	}
	return decoded, nil
}

// Encode returns the transaction of a commit.
func (l *Store) Encode(effect ownership.CommitRows) core.Transaction {
	var transaction core.Transaction
	for _, c := range effect.LeaseConditions {
		transaction.Conditions = append(transaction.Conditions, core.Condition{Key: l.leaseKey(c.Host), Version: c.Version})
	}
	for _, c := range effect.OwnerConditions {
		transaction.Conditions = append(transaction.Conditions, core.Condition{Key: l.ownerKey(c.Target), Version: c.Version})
	}
	for _, lease := range effect.Leases {
		transaction.Writes = append(transaction.Writes, core.Write{Key: l.leaseKey(lease.Host), Value: encode(leaseBody(lease))})
	}
	for _, owner := range effect.Owners {
		transaction.Writes = append(transaction.Writes, core.Write{Key: l.ownerKey(owner.Target), Value: encode(ownerBody(owner))})
	}
	return transaction
}

// encode cannot fail: the bodies hold only text, numbers and flags.
func encode[T leaseBody | ownerBody](row T) []byte {
	value, _ := json.Marshal(row)
	return value
}

// ReadBackVersion returns the version of the row of the transaction's first write after its
// commit. It is zero if the row cannot be read or no longer holds what was written.
func (l *Store) ReadBackVersion(ctx context.Context, transaction core.Transaction) uint64 {
	if len(transaction.Writes) == 0 {
		return 0
	}
	written := transaction.Writes[0]
	row, err := l.table.Row(ctx, written.Key)
	if err != nil || !bytes.Equal(row.Value, written.Value) {
		return 0
	}
	return row.Version
}

// OutcomeOf returns the outcome of a commit from its error.
func OutcomeOf(err error) ownership.Outcome {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return ownership.Committed
	case errors.As(err, &conflict):
		return ownership.Conflict
	case errors.As(err, &unavailable):
		return ownership.Unavailable
	}
	return ownership.Ambiguous
}
