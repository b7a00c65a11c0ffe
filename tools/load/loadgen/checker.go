package loadgen

import (
	"fmt"

	"siskintide.example/siskintide/tools/standin/engine/engineserver"
)

// checker compares a response with the deterministic output of the stand-in engines.
type checker struct {
	expectedTokens   []string
	expectedReason   string // finish reason of the last token
	received         int
	lastFinishReason string // finish reason of the latest token
}

// newChecker returns the checker for a request, or nil if responses are not checked. A nil
// checker accepts every response.
func newChecker(options Options, r request) (*checker, error) {
	if options.CheckVersion == "" {
		return nil, nil
	}
	tokens, reason, err := engineserver.ExpectedOutput(options.CheckVersion, r.prompt, r.seed, int(options.MaxTokens))
	if err != nil {
		return nil, fmt.Errorf("compute expected output: %w", err)
	}
	return &checker{expectedTokens: tokens, expectedReason: reason}, nil
}

// checkToken compares the next token with the expected one.
func (c *checker) checkToken(got token) error {
	if c == nil {
		return nil
	}
	c.received++
	if c.received > len(c.expectedTokens) {
		return &mismatchError{at: c.received, want: "the end", got: got.text}
	}
	if want := c.expectedTokens[c.received-1]; got.text != want {
		return &mismatchError{at: c.received, want: want, got: got.text}
	}
	c.lastFinishReason = got.reason
	return nil
}

// checkEnd reports an error if the response ended early or with another finish reason.
func (c *checker) checkEnd() error {
	if c == nil {
		return nil
	}
	if c.received != len(c.expectedTokens) {
		return &mismatchError{at: c.received + 1, want: c.expectedTokens[c.received], got: "the end"}
	}
	if c.lastFinishReason != c.expectedReason {
		return &mismatchError{at: c.received, want: c.expectedReason, got: c.lastFinishReason}
	}
	return nil
}
