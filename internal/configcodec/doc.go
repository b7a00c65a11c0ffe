// Package configcodec encodes accepted configurations and the head row, and seals bodies
// that an operator carries to hosts which the platform cannot reach.
package configcodec
