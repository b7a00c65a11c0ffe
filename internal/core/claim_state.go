package core

// ClaimState is the progress of a call that may run at most once.
type ClaimState string

const (
	ClaimClaimed  ClaimState = "claimed"
	ClaimSent     ClaimState = "sent"
	ClaimAnswered ClaimState = "answered"
	ClaimUnknown  ClaimState = "unknown"
	ClaimVoid     ClaimState = "void"
)
