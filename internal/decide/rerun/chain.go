package rerun

import "math/bits"

const (
	chainRotation   = 27                 // bits; makes the chain depend on order
	chainMultiplier = 0x9E3779B185EBCA87 // odd 64-bit constant that spreads differences over all bits
	chainOffset     = 0x85EBCA77C2B2AE63 // makes empty tokens count
)

// ExtendDigest adds one token's hash to the hash of the tokens before it. The chain of no token
// is zero. Token boundaries and order matter.
func ExtendDigest(before, tokenDigest uint64) uint64 {
	mixed := bits.RotateLeft64(before, chainRotation) ^ tokenDigest
	return mixed*chainMultiplier + chainOffset
}
