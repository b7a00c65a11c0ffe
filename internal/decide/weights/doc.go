// Package weights decides which target may load model weights in a data centre. The weights
// store is rate limited, so only one target at a time holds the data centre's load slot.
// The slot is a row in the platform's table. It belongs to a target, not to a host: the
// target's next owner holds it under a higher fence. A slot held by a target that is no
// longer declared is free.
package weights
