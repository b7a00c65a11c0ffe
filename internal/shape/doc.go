// Package shape holds the tests that guard the shape of the code base: one type a file,
// decisions that know no encoding, network, file system or clock, and no waiting by
// spinning or sleeping.
package shape
