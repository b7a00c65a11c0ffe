package engineserver

import (
	"encoding/json"
	"fmt"
)

// ExpectedOutput returns the tokens and the finish reason that every engine generates for a
// request unless FaultNondeterministic is set. A maxTokens of zero means no limit.
func ExpectedOutput(version, prompt string, seed uint64, maxTokens int) (tokens []string, finishReason string, err error) {
	length, finishReason := outputLength(prompt, seed), "stop"
	if maxTokens > 0 && length > maxTokens {
		length, finishReason = maxTokens, "length"
	}
	var texts [len(words)]string
	for i, word := range words {
		if err := json.Unmarshal([]byte(word), &texts[i]); err != nil {
			return nil, "", fmt.Errorf("decode word %d: %w", i, err)
		}
	}
	source := newTokenSource(version, prompt, seed, 0)
	tokens = make([]string, length)
	for i := range tokens {
		tokens[i] = texts[source.wordIndex(i+1)]
	}
	return tokens, finishReason, nil
}
