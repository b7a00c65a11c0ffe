package headscan

// phase is the part of a request to which the next byte belongs.
type phase int

const (
	phaseBefore    phase = iota // empty lines before a request
	phaseStart                  // request line
	phaseHeader                 // header lines
	phaseBody                   // body with a length
	phaseChunkSize              // line with the size of a chunk
	phaseChunk                  // chunk and the end of its line
	phaseTrailer                // lines after the last chunk
)
