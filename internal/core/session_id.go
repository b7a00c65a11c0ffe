package core

// SessionID identifies one start of a host's process.
type SessionID string
