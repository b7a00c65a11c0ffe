package claims

import (
	"context"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxRowAnswer bounds the body that is kept in the row itself.
	maxRowAnswer = 8 << 10
	// maxKeptAnswer bounds the body that is kept at all.
	maxKeptAnswer = 1 << 20
)

// keepAnswer adds the answer to a row. A body that cannot be kept is left out; a repeat
// then learns that the call ran.
func (x *execution) keepAnswer(ctx context.Context, row *rowBody) {
	row.Status = x.answer.Status
	row.Header = x.answer.Header
	switch size := len(x.answer.Body); {
	case size <= maxRowAnswer:
		row.Body = x.answer.Body
	case size <= maxKeptAnswer:
		row.Object = x.key + "/" + x.attempt.String()
		row.Dropped = x.executor.options.Table.PutObject(ctx, row.Object, x.answer.Body) != nil
	default:
		row.Dropped = true
	}
}

// replay returns the answer that the row read last has kept.
func (x *execution) replay(ctx context.Context) Result {
	answer := &Answer{Status: x.body.Status, Header: x.body.Header, Body: x.body.Body, Replayed: true}
	if x.body.Dropped {
		return Result{Refusal: answerNotKept()}
	}
	if x.body.Object == "" {
		return Result{Answer: answer}
	}
	body, err := x.executor.options.Table.Object(ctx, x.body.Object)
	if err != nil {
		return Result{Refusal: answerNotKept()}
	}
	answer.Body = body
	return Result{Answer: answer}
}

func answerNotKept() *core.Refusal {
	return &core.Refusal{Kind: core.RefusedOutcomeUnknown, Message: "the request ran, but its answer cannot be read", Run: core.Ran}
}
