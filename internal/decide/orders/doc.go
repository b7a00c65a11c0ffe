// Package orders decides which orders the owner of a target gives to its engine, so that
// the engine comes to hold the declared version of its model: load the new version, wait
// until it is ready, direct new work to it, and unload the old version once none of its
// streams runs any more.
//
// Some engines refuse an order with an old fence. For engines that ignore fences, the
// effect of an old order is bounded in time: every order is idempotent and is sent only
// while the ownership lease outlasts the order's timeout, so that an order is over before
// a successor can own the target. A load needs the data centre's load slot, because the
// weights store is rate limited; see package weights.
//
// An engine that checks fences learns of a new ownership only by its first order. Where it has room for
// one version only, the owner therefore raises the fence before it loads into an engine that seems empty,
// and reads the state again.
//
// Two risks remain. A former owner's unload that reaches an engine after its successor has read the state,
// and before the successor's first order, is carried out even if the engine checks fences; the successor
// finds the version gone at its next read and loads it again. And an engine that ignores fences and carries
// out an order later than the order's timeout may undo what a successor ordered. The successor reads the
// state again every Timing.IdleReadInterval and repeats its orders.
package orders
