// Package plan computes what an operator's intent would change, which hosts and targets it
// affects and what load the remaining targets would carry. It refuses an intent whose result
// would violate a guarantee, for example that every pool keeps a target. A plan changes
// nothing until it is applied, and it can be applied only to the revision that it was
// computed from.
package plan
