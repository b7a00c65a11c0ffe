package claim

// phase is the event that a call waits for.
type phase uint8

const (
	phaseFirstRead     phase = iota + 1 // the row, before any write
	phaseWaitRead                       // the row, until the other call with the key has an outcome
	phaseTicket                         // a ticket
	phaseClaimWrite                     // the write of the row in state sent
	phaseClaimReadBack                  // the row, after that write conflicted or its response was lost
	phaseSend                           // the result of sending to the service
	phaseVoidRead                       // the row, to write it as void
	phaseVoidWrite                      // the write of the row as void
	phaseOutcomeRead                    // the row, to write the outcome
	phaseOutcomeWrite                   // the write of the outcome
	phaseTakeoverWrite                  // the write of the final state of an expired claim
	phaseDone
)
