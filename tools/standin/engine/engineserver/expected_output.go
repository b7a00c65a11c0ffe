package engineserver

import (
	"encoding/json"
	"fmt"
)

// ExpectedOutput returns the tokens, and the finish reason, that every engine gives for a request
// while it is not told to be nondeterministic. Zero maxTokens means no bound.
func ExpectedOutput(version, prompt string, seed uint64, maxTokens int) (tokens []string, reason string, err error) {
	length, reason := outputLength(prompt, seed), "stop"
	if maxTokens > 0 && length > maxTokens {
		length, reason = maxTokens, "length"
	}
	var texts [len(words)]string
	for i, word := range words {
		if err := json.Unmarshal([]byte(word), &texts[i]); err != nil {
			return nil, "", fmt.Errorf("decode word %d: %w", i, err)
		}
	}
	from := newSource(version, prompt, seed, 0)
	tokens = make([]string, length)
	for i := range tokens {
		tokens[i] = texts[from.word(i+1)]
	}
	return tokens, reason, nil
}
