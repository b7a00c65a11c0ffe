package core

// PrefixPart is one part of a prompt that an engine may have cached.
type PrefixPart struct {
	Key    PromptPart `cbor:"1,keyasint"`
	Tokens Tokens     `cbor:"2,keyasint"`
}
