package callerapi

import (
	"encoding/json"
	"fmt"
	"strings"
)

// chatContent is the text of a message. In JSON it is a string or a list of parts of type
// text.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []chatPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is neither a string nor a list of parts: %w", err)
	}
	var all strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return &contentPartError{Type: part.Type}
		}
		all.WriteString(part.Text)
	}
	*c = chatContent(all.String())
	return nil
}
