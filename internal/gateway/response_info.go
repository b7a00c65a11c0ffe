package gateway

// ResponseInfo is what a target's status and headers say.
type ResponseInfo struct {
	RequestID   string // id of the request that it answers; empty if it does not say
	NotRun      bool   // the target did not run the request
	Misdirected bool   // another target has the address
	Signed      bool   // the answer bears the target's signature
}
