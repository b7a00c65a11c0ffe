package message

import "fmt"

// ConfigSizeError reports a configuration that is too large to be decoded.
type ConfigSizeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *ConfigSizeError) Error() string {
	return fmt.Sprintf("the configuration takes more than %d bytes", e.Limit)
}
