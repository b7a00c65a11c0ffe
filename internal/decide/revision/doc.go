// Package revision decides how a host follows the accepted configuration. It puts the
// highest revision in force that it receives from the platform, from peers or from an
// operator. The revision in force never decreases.
package revision
