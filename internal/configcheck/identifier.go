package configcheck

import "regexp"

// IdentifierForm is the accepted form of every identifier.
const IdentifierForm = "1 to 63 lower-case letters, digits, dots and hyphens, starting with a letter or a digit"

var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// ValidIdentifier reports whether the text has the form of an identifier.
func ValidIdentifier(text string) bool { return identifierPattern.MatchString(text) }
