package revision

// Effect is one action for the executor of a Follower.
type Effect interface{ effect() }
