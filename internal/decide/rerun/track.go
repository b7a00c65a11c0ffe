package rerun

import "siskintide.example/siskintide/internal/core"

// track is the progress of one generation. A zero connection means that there is none.
type track struct {
	connection ConnectionID
	generation core.GenerationID
	seen       core.Sequence // last token received in order
	digest     uint64        // chained hash of tokens 1 to seen
	resumes    int           // reconnections since the last new token
}

func (t track) live() bool { return t.connection != 0 }

// advance takes the next token into account.
func (t track) advance(tokenDigest uint64) track {
	t.seen++
	t.digest = ExtendDigest(t.digest, tokenDigest)
	t.resumes = 0
	return t
}
