package core

// HostID names one entry host.
type HostID string
