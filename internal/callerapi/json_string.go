package callerapi

import (
	"encoding/json"
	"unicode/utf8"
)

// appendJSONString writes text as a JSON string. Plain text takes no allocation.
func appendJSONString(dst []byte, text string) []byte {
	if !utf8.ValidString(text) || !plain(text) {
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

// plain reports whether a valid text needs no escapes.
func plain(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == '"' || text[i] == '\\' {
			return false
		}
	}
	return true
}
