package callerapi

import (
	"encoding/json"
	"unicode/utf8"
)

// appendJSONString appends text as a JSON string. It does not allocate for valid text
// without characters to escape, except to grow dst.
func appendJSONString(dst []byte, text string) []byte {
	if !utf8.ValidString(text) || !needsNoEscaping(text) {
		data, err := json.Marshal(text)
		if err != nil {
			return append(dst, `""`...)
		}
		return append(dst, data...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// needsNoEscaping reports whether valid UTF-8 text can be copied into a JSON string as it
// is.
func needsNoEscaping(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == '"' || text[i] == '\\' {
			return false
		}
	}
	return true
}
