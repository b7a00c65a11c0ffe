package core

// SessionID identifies one start of an entry host's process.
type SessionID string
