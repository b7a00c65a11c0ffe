// Package ledger keeps leases and owners of targets in the platform's table.
package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/platform"
)

// Ledger reads and encodes the rows of one data centre.
type Ledger struct {
	table      *platform.Client
	dataCentre core.DataCentreID
}

// New returns the ledger of a data centre.
func New(table *platform.Client, dataCentre core.DataCentreID) *Ledger {
	return &Ledger{table: table, dataCentre: dataCentre}
}

func (l *Ledger) leaseKey(host core.HostID) string {
	return fmt.Sprintf("lease/%s/%s", l.dataCentre, host)
}

func (l *Ledger) ownerKey(target core.TargetID) string {
	return fmt.Sprintf("owner/%s/%s", l.dataCentre, target)
}

// Read carries out a read. Owners are read before leases.
func (l *Ledger) Read(ctx context.Context, self core.HostID, effect ownership.ReadRows) ownership.ReadAnswer {
	answer := ownership.ReadAnswer{ID: effect.ID}
	owners, leases, err := l.rows(ctx, self, effect.Scope)
	if err != nil {
		return answer
	}
	for _, row := range owners {
		read := ownership.OwnerRow{Version: row.Version}
		if json.Unmarshal(row.Value, &read.Owner) != nil {
			return answer
		}
		answer.Owners = append(answer.Owners, read)
	}
	for _, row := range leases {
		read := ownership.LeaseRow{Version: row.Version}
		if json.Unmarshal(row.Value, &read.Lease) != nil {
			return answer
		}
		answer.Leases = append(answer.Leases, read)
	}
	answer.OK = true
	return answer
}

func (l *Ledger) rows(ctx context.Context, self core.HostID, scope ownership.Scope) (owners, leases []core.Row, err error) {
	if scope == ownership.ReadOwnLease {
		row, err := l.table.Row(ctx, l.leaseKey(self))
		if err != nil || row.Version == 0 {
			return nil, nil, err
		}
		return nil, []core.Row{row}, nil
	}
	owners, err = l.table.Rows(ctx, l.ownerKey(""))
	if err != nil {
		return nil, nil, err
	}
	leases, err = l.table.Rows(ctx, l.leaseKey(""))
	return owners, leases, err
}

// Encode returns the transaction of a commit.
func (l *Ledger) Encode(effect ownership.CommitRows) core.Transaction {
	var transaction core.Transaction
	for _, c := range effect.LeaseConditions {
		transaction.Conditions = append(transaction.Conditions, core.Condition{Key: l.leaseKey(c.Host), Version: c.Version})
	}
	for _, c := range effect.OwnerConditions {
		transaction.Conditions = append(transaction.Conditions, core.Condition{Key: l.ownerKey(c.Target), Version: c.Version})
	}
	for _, lease := range effect.Leases {
		transaction.Writes = append(transaction.Writes, core.Write{Key: l.leaseKey(lease.Host), Value: encode(lease)})
	}
	for _, owner := range effect.Owners {
		transaction.Writes = append(transaction.Writes, core.Write{Key: l.ownerKey(owner.Target), Value: encode(owner)})
	}
	return transaction
}

// encode cannot fail for the plain structs of package ownership.
func encode[T ownership.Lease | ownership.Owner](row T) []byte {
	value, _ := json.Marshal(row)
	return value
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
