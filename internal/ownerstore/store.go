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

// New returns the store of a data centre.
func New(table Table, dataCentre core.DataCentreID) *Store {
	return &Store{table: table, dataCentre: dataCentre}
}

func (s *Store) leaseKey(host core.HostID) string {
	return "lease/" + string(s.dataCentre) + "/" + string(host)
}

func (s *Store) ownerKey(target core.TargetID) string {
	return "owner/" + string(s.dataCentre) + "/" + string(target)
}

// Read executes a read for a host. OK is false in the response if the platform was not
// reached or a row is malformed.
func (s *Store) Read(ctx context.Context, self core.HostID, effect ownership.ReadRows) ownership.ReadResponse {
	response := ownership.ReadResponse{ID: effect.ID}
	if err := s.read(ctx, self, effect.Scope, &response); err != nil {
		return ownership.ReadResponse{ID: effect.ID}
	}
	response.OK = true
	return response
}

// read fills in the rows. Owners are read before leases, because only then a lease of another
// epoch proves that an owner row is void.
func (s *Store) read(ctx context.Context, self core.HostID, scope ownership.Scope, response *ownership.ReadResponse) error {
	if scope == ownership.ReadOwnLease {
		row, err := s.table.Row(ctx, s.leaseKey(self))
		if err != nil || row.Version == 0 {
			return err
		}
		response.Leases, err = decodeAll([]core.Row{row}, s.decodeLease)
		return err
	}
	owners, err := s.table.Rows(ctx, s.ownerKey(""))
	if err != nil {
		return err
	}
	leases, err := s.table.Rows(ctx, s.leaseKey(""))
	if err != nil {
		return err
	}
	if response.Owners, err = decodeAll(owners, s.decodeOwner); err != nil {
		return err
	}
	response.Leases, err = decodeAll(leases, s.decodeLease)
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

// Encode returns the transaction for a commit.
func (s *Store) Encode(effect ownership.CommitRows) core.Transaction {
	var transaction core.Transaction
	for _, c := range effect.LeaseConditions {
		transaction.Conditions = append(transaction.Conditions, core.Condition{Key: s.leaseKey(c.Host), Version: c.Version})
	}
	for _, c := range effect.OwnerConditions {
		transaction.Conditions = append(transaction.Conditions, core.Condition{Key: s.ownerKey(c.Target), Version: c.Version})
	}
	for _, lease := range effect.Leases {
		transaction.Writes = append(transaction.Writes, core.Write{Key: s.leaseKey(lease.Host), Value: encode(leaseBody(lease))})
	}
	for _, owner := range effect.Owners {
		transaction.Writes = append(transaction.Writes, core.Write{Key: s.ownerKey(owner.Target), Value: encode(ownerBody(owner))})
	}
	return transaction
}

// encode ignores the error of Marshal, which cannot occur: the bodies contain only strings,
// numbers and booleans.
func encode[T leaseBody | ownerBody](row T) []byte {
	value, _ := json.Marshal(row)
	return value
}

// ReadBackVersion reads the row of the transaction's first write after the commit and returns
// its version. It is zero if the row cannot be read or no longer has the written value.
func (s *Store) ReadBackVersion(ctx context.Context, transaction core.Transaction) uint64 {
	if len(transaction.Writes) == 0 {
		return 0
	}
	written := transaction.Writes[0]
	row, err := s.table.Row(ctx, written.Key)
	if err != nil || !bytes.Equal(row.Value, written.Value) {
		return 0
	}
	return row.Version
}

// OutcomeOf returns the outcome of a commit that returned err.
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
