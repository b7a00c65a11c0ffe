package core

// Outcome says how the use of a ticket ended.
type Outcome struct {
	Generation      GenerationID
	Target          TargetID
	Result          Result
	Output          Tokens
	FirstTokenMS    int64 // time from sending the request to the target to its first token
	WorstTokenGapMS int64 // largest time between two tokens
}
