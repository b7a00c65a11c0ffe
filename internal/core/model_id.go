package core

// ModelID is the name by which callers request a model.
type ModelID string
