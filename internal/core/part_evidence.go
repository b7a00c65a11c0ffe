package core

import "time"

// PartEvidence is what a host knows of a prompt part under which engines have crashed.
type PartEvidence struct {
	Part    PromptPart    `cbor:"1,keyasint"`
	Crashes []EngineCrash `cbor:"2,keyasint,omitempty"`
	// Sound is set if a generation on the part has begun, the last one SoundAge ago. SoundID
	// identifies its request.
	Sound    bool          `cbor:"3,keyasint,omitempty"`
	SoundID  uint64        `cbor:"4,keyasint,omitempty"`
	SoundAge time.Duration `cbor:"5,keyasint,omitempty"`
}
