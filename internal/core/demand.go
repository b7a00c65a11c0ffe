package core

import "time"

// Demand asks for the right to run one generation, or one call of a plain service, on some
// target of a pool.
type Demand struct {
	Generation   GenerationID
	Entry        HostID // host that will talk to the target
	Team         TeamID
	Pool         PoolID
	Class        Class
	Priority     Priority
	PromptTokens Tokens
	MaxTokens    Tokens        // zero means the model's own limit
	PrefixHash   uint64        // hash of the prompt's leading block; zero means none
	QueueBudget  time.Duration // longest time the request may wait for a ticket
	Avoid        TargetID      // target that just failed this request; empty means none
}
