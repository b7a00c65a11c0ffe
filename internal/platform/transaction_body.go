package platform

import "siskintide.example/siskintide/internal/core"

// transactionBody is the JSON form of a core.Transaction.
type transactionBody struct {
	Conditions []conditionBody `json:"conditions"`
	Writes     []writeBody     `json:"writes"`
}

// newTransactionBody converts a transaction to its JSON form.
func newTransactionBody(tx core.Transaction) transactionBody {
	body := transactionBody{
		Conditions: make([]conditionBody, len(tx.Conditions)),
		Writes:     make([]writeBody, len(tx.Writes)),
	}
	for i, condition := range tx.Conditions {
		body.Conditions[i] = conditionBody(condition)
	}
	for i, write := range tx.Writes {
		body.Writes[i] = writeBody(write)
	}
	return body
}
