// Package revision decides how a host follows the accepted configuration: the highest
// revision that it hears of, from the platform, from peers or carried by an operator, is
// put in force, and a host never goes back.
package revision
