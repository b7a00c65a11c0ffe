package gateway

// Prefix is what engines cache of a request's prompt.
type Prefix struct {
	Model string       // empty if it is not given; engines cache the prompts of each model apart
	Parts []PrefixPart // all parts of the prompt, in order; the last one belongs to the request or its session
}
