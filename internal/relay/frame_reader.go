package relay

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// FrameReader reads the frames of one connection to an engine.
type FrameReader interface {
	// Next waits for the next frame. It returns io.EOF after the end marker.
	Next() (engine.Frame, error)
	// Incarnation returns the engine's incarnation.
	Incarnation() core.Incarnation
	// Close ends the connection.
	Close() error
}
