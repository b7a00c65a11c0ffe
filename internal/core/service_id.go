package core

// ServiceID names a plain service.
type ServiceID string
