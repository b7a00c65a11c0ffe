// Package orders decides which orders the owner of a target gives to its engine, so that
// the engine comes to hold the declared version of its model: load the new version, wait
// until it is ready, let callers switch, and unload the old one when none of its streams
// runs any more.
//
// Some engines refuse an order with an old fence. Others ignore fences; what remains there
// is bounded in time. Every order is idempotent and is sent only while the ownership lease
// outlasts the order's timeout, so an order is over before a successor can own the target.
// Loads draw on a budget of the data centre, because the weights store is rate limited.
//
// What stays at risk: an engine that ignores fences and carries an order out later than the
// order's timeout may undo what a successor ordered. The successor reads the state back
// every ReadEvery and orders again.
package orders
