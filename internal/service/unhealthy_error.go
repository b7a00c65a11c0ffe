package service

import "fmt"

// UnhealthyError reports that a service responded to its health check with a status other
// than 200.
type UnhealthyError struct {
	Address string // IP and port
	Status  int
}

// Error implements error.
func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("service %s: health check answered status %d", e.Address, e.Status)
}
