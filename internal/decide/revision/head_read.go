package revision

// HeadRead is the result of ReadHead.
type HeadRead struct {
	OK   bool // the platform answered
	Head Head // zero if there is no accepted configuration yet
}
