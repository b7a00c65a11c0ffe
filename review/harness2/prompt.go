package main

import "fmt"

// prompt is what a request says of its generation. That of a call is empty.
type prompt struct {
	usage  string // tokens of the prompt, and the most that are generated
	prefix string // parts of the prompt
}

// usualPrompt returns a prompt of 3,000 tokens in two parts, of which the first one is shared.
func usualPrompt(id string, events int) prompt {
	return prompt{usage: fmt.Sprintf("3000,%d", events*4), prefix: fmt.Sprintf("5c1e07a2:79,%x:2921", sum(id))}
}
