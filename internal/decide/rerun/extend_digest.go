package rerun

import "math/bits"

const (
	chainRotation   = 27                 // bits; makes the chain depend on order
	chainMultiplier = 0x9E3779B185EBCA87 // odd 64-bit constant that mixes differences into all bits
	chainOffset     = 0x85EBCA77C2B2AE63 // makes empty tokens change the digest
)

// ExtendDigest adds one token's hash to the chained hash of the tokens before it, which is
// zero for no tokens. Token boundaries and order change the result.
func ExtendDigest(before, tokenDigest uint64) uint64 {
	mixed := bits.RotateLeft64(before, chainRotation) ^ tokenDigest
	return mixed*chainMultiplier + chainOffset
}
