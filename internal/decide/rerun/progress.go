package rerun

import "siskintide.example/siskintide/internal/core"

// progress is the progress of one generation. A zero connection means that there is no
// generation.
type progress struct {
	connection ConnectionID
	generation core.GenerationID
	seen       core.Sequence // last token received in order
	digest     uint64        // chained hash of tokens 1 to seen
	resumes    int           // reconnections since the last new token
}

func (p progress) active() bool { return p.connection != 0 }

// advance returns the progress after the next token.
func (p progress) advance(tokenDigest uint64) progress {
	p.seen++
	p.digest = ExtendDigest(p.digest, tokenDigest)
	p.resumes = 0
	return p
}
