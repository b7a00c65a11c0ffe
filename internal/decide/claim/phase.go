package claim

// phase is what a call waits for.
type phase uint8

const (
	phaseReading    phase = iota + 1 // the row, before anything was written
	phaseWaiting                     // the row, until another call with the key has its outcome
	phaseAcquiring                   // a ticket
	phaseClaiming                    // the write of the row as sent
	phaseConfirming                  // the row, after that write's answer was lost
	phaseSending                     // the service
	phaseVoidRead                    // the row, to write it as void
	phaseVoiding                     // the write of the row as void
	phaseRecordRead                  // the row, to write the outcome
	phaseRecording                   // the write of the outcome
	phaseTakeover                    // the write that settles a dead claimant's row
	phaseDone
)
