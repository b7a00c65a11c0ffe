package orders

// Effect is something that the machine asks its executor to do.
type Effect interface{ effect() }
