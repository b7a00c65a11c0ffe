package core

// ModelID names a model as callers ask for it.
type ModelID string
