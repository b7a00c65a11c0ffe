// Package weights decides who may load weights in a data centre. The weights store is rate
// limited, so that one target at a time holds the data centre's slot. The slot is a row in
// the platform's table and belongs to a target, not to a host: whoever owns the target next
// holds the slot, under a higher fence. A slot of a target that is no longer declared is void.
package weights
