package core

import "encoding/hex"

// GenerationID identifies one attempt to produce an answer, and the ticket under which the
// attempt runs.
type GenerationID [16]byte

// String returns the identifier as 32 lower-case hexadecimal digits.
func (g GenerationID) String() string { return hex.EncodeToString(g[:]) }

// MarshalText encodes the identifier as String does.
func (g GenerationID) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// UnmarshalText accepts exactly 32 hexadecimal digits and returns an IdentifierError otherwise.
func (g *GenerationID) UnmarshalText(text []byte) error {
	parsed, err := ParseGenerationID(string(text))
	if err != nil {
		return err
	}
	*g = parsed
	return nil
}

// ParseGenerationID parses the form that String returns. It returns an IdentifierError if
// the text has another length or other characters.
func ParseGenerationID(text string) (GenerationID, error) {
	var g GenerationID
	if len(text) != hex.EncodedLen(len(g)) {
		return g, &IdentifierError{Kind: "generation", Text: text}
	}
	if _, err := hex.Decode(g[:], []byte(text)); err != nil {
		return GenerationID{}, &IdentifierError{Kind: "generation", Text: text}
	}
	return g, nil
}
