package gateway

import (
	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// unbudgetedBytes is the size up to which a buffer does not count against the budget of buffers. Buffers that grow
// without end can use the budget up; answers within this size are read all the same, as long as the host has
// memory.
const unbudgetedBytes = 64 << 10

// memoryStep is the size of the steps in which a buffer takes memory of the host, so that it does so once for an
// event of the usual size.
const memoryStep = 4 << 10

// maxSmallHold is the memory for a buffer of unbudgetedBytes and for the one that it replaced.
const maxSmallHold = 2 * unbudgetedBytes

// bufferShare is what one buffer takes from a budget.
type bufferShare struct {
	budget *bufferBudget
	small  *callerlimit.Share // memory of the host up to maxSmallHold
	large  *callerlimit.Share // memory of the host beyond it
	size   int64              // of the buffer
	taken  int64              // from the budget
	held   int64              // from the memory of the host
}

func newBufferShare(budget *bufferBudget) bufferShare {
	return bufferShare{budget: budget, small: budget.memory.Share(callerbudget.Answer, ""), large: budget.memory.Share(callerbudget.LargeAnswer, "")}
}

// grow counts n more bytes. It returns a *TooLargeError if the budget has no room for them, and a
// *callerlimit.LimitError if the host has no memory for them.
func (s *bufferShare) grow(n int64) error {
	s.size += n
	if err := s.hold(s.size); err != nil {
		return err
	}
	need := s.size - unbudgetedBytes - s.taken
	if need <= 0 {
		return nil
	}
	if !s.budget.take(s.taken, need) {
		return &TooLargeError{Part: "answers together", Limit: maxBufferedBytes}
	}
	s.taken += need
	return nil
}

// hold takes memory of the host for a buffer of the given size. It returns a *callerlimit.LimitError if there is none.
func (s *bufferShare) hold(size int64) error {
	if size <= s.held {
		return nil
	}
	share := s.small
	if size > maxSmallHold {
		share = s.large
	}
	step := (size - s.held + memoryStep - 1) / memoryStep * memoryStep
	if err := share.Grow(step); err != nil {
		return err
	}
	s.held += step
	return nil
}

// release returns what was taken to the budget. The buffer is empty afterwards.
func (s *bufferShare) release() {
	s.small.Release()
	s.large.Release()
	s.budget.give(s.taken)
	s.size, s.taken, s.held = 0, 0, 0
}
