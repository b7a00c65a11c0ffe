// Package configcodec encodes and decodes accepted configurations and the head row. It also
// seals encoded configurations that an operator copies to hosts without access to the
// platform, and verifies the seal.
package configcodec
