package engineserver

import "encoding/json"

// Answer returns the tokens, and the finish reason, that every engine gives for a request
// while it is not told to be nondeterministic. Zero maxTokens means no bound.
func Answer(version, prompt string, seed uint64, maxTokens int) (tokens []string, reason string, err error) {
	length, reason := outputLength(prompt, seed), "stop"
	if maxTokens > 0 && length > maxTokens {
		length, reason = maxTokens, "length"
	}
	from := newSource(version, prompt, seed, 0)
	tokens = make([]string, length)
	for i := range tokens {
		if err := json.Unmarshal([]byte(from.token(i+1)), &tokens[i]); err != nil {
			return nil, "", err
		}
	}
	return tokens, reason, nil
}
