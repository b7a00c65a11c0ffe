package orders

// Effect is an action that Machine asks its caller to perform.
type Effect interface{ effect() }
