package core

// HostID names one host.
type HostID string
