package core

import "time"

// TicketRequest requests the right to run one generation, or one call of a plain service, on
// some target of a pool.
type TicketRequest struct {
	Generation   GenerationID  `cbor:"1,keyasint,omitempty"`
	EntryHost    HostID        `cbor:"2,keyasint,omitempty"` // host that will send the request to the target
	Team         TeamID        `cbor:"3,keyasint,omitempty"`
	Pool         PoolID        `cbor:"4,keyasint,omitempty"`
	Class        Class         `cbor:"5,keyasint,omitempty"`
	Priority     Priority      `cbor:"6,keyasint,omitempty"`
	PromptTokens Tokens        `cbor:"7,keyasint,omitempty"`
	MaxTokens    Tokens        `cbor:"8,keyasint,omitempty"`  // zero means the model's limit
	PrefixHash   uint64        `cbor:"9,keyasint,omitempty"`  // hash of the prompt's leading block; zero means none
	QueueBudget  time.Duration `cbor:"10,keyasint,omitempty"` // longest time the request may wait for a ticket
	Avoid        TargetID      `cbor:"11,keyasint,omitempty"` // target that just failed this request; empty means none
}
