package claims

import (
	"context"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxRowAnswer is the largest body that is kept in the row itself.
	maxRowAnswer = 8 << 10
	// maxStoredAnswer is the largest body that is kept; it goes into the object store.
	maxStoredAnswer = 1 << 20
)

// storeAnswer adds the answer to a row. A body that cannot be kept is left out; a retry is
// then refused and told that the call ran.
func (x *execution) storeAnswer(ctx context.Context, row *rowBody) {
	row.Status = x.answer.Status
	row.Header = x.answer.Header
	switch size := len(x.answer.Body); {
	case size <= maxRowAnswer:
		row.Body = x.answer.Body
	case size <= maxStoredAnswer:
		row.Object = x.key + "/" + x.attempt.String()
		row.Dropped = x.executor.options.Table.PutObject(ctx, row.Object, x.answer.Body) != nil
	default:
		row.Dropped = true
	}
}

// replay returns the answer that is stored in the row that was read last.
func (x *execution) replay(ctx context.Context) Result {
	answer := &Answer{Status: x.body.Status, Header: x.body.Header, Body: x.body.Body, Replayed: true}
	if x.body.Dropped {
		return Result{Refusal: answerNotStored()}
	}
	if x.body.Object == "" {
		return Result{Answer: answer}
	}
	body, err := x.executor.options.Table.Object(ctx, x.body.Object)
	if err != nil {
		return Result{Refusal: answerNotStored()}
	}
	answer.Body = body
	return Result{Answer: answer}
}

func answerNotStored() *core.Refusal {
	return &core.Refusal{Kind: core.RefusedOutcomeUnknown, Message: "the request ran, but its answer cannot be read", Run: core.Ran}
}
