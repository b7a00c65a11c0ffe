package core

// ClaimState is the state of a call that may run at most once.
type ClaimState string

const (
	// ClaimClaimed means that the call has not been sent. It is read but no longer written.
	ClaimClaimed ClaimState = "claimed"
	// ClaimSent means that the call may have been sent.
	ClaimSent ClaimState = "sent"
	// ClaimAnswered means that the call has an answer.
	ClaimAnswered ClaimState = "answered"
	// ClaimUnknown means that it is not known whether the call ran.
	ClaimUnknown ClaimState = "unknown"
	// ClaimVoid means that the call was not sent, so that its key may be claimed again.
	ClaimVoid ClaimState = "void"
)
