package revision

// Effect is something that the follower asks its executor to do.
type Effect interface{ effect() }
