package core

// PromptPart identifies a part of a prompt within a pool. It is a hash of the caller's id of the part.
type PromptPart uint64
