package loadgen

import (
	"fmt"

	"siskintide.example/siskintide/tools/standin/engine/engineserver"
)

// checker compares an answer with the one that the stand-ins of engines give.
type checker struct {
	expected []string
	reason   string
	seen     int
	lastly   string // finish reason of the last token seen
}

// newChecker returns the checker of a request, or nil if answers are not checked.
func newChecker(options Options, r request) (*checker, error) {
	if options.CheckVersion == "" {
		return nil, nil
	}
	tokens, reason, err := engineserver.ExpectedOutput(options.CheckVersion, r.prompt, r.seed, int(options.MaxTokens))
	if err != nil {
		return nil, fmt.Errorf("work out the answer: %w", err)
	}
	return &checker{expected: tokens, reason: reason}, nil
}

// token checks the next token.
func (c *checker) token(got token) error {
	if c == nil {
		return nil
	}
	c.seen++
	if c.seen > len(c.expected) {
		return &wrongError{at: c.seen, want: "the end", got: got.text}
	}
	if want := c.expected[c.seen-1]; got.text != want {
		return &wrongError{at: c.seen, want: want, got: got.text}
	}
	c.lastly = got.reason
	return nil
}

// end checks that the answer was whole.
func (c *checker) end() error {
	if c == nil {
		return nil
	}
	if c.seen != len(c.expected) {
		return &wrongError{at: c.seen + 1, want: c.expected[c.seen], got: "the end"}
	}
	if c.lastly != c.reason {
		return &wrongError{at: c.seen, want: c.reason, got: c.lastly}
	}
	return nil
}
