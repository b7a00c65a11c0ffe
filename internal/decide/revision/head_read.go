package revision

// HeadRead is the answer to ReadHead.
type HeadRead struct {
	OK   bool // the platform answered
	Head Head // zero if there is no accepted configuration yet
}
