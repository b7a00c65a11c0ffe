// Package plan works out what an operator's intent would change, which hosts and targets
// it concerns and what load the remaining targets would carry, and refuses intents that
// would leave a promise unkept. A plan changes nothing until it is applied to the very
// revision that it was worked out from.
package plan
