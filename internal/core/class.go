package core

// Class names a request class, such as interactive or batch.
type Class string
