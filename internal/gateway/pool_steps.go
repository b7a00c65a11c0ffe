package gateway

// stepStreams is the least number of streams for which the largest step of one of them counts. A faulty stream that left
// events out would otherwise hide gaps in all later ones.
const stepStreams = 64

// poolSteps holds the largest step between the ids of two events in the latest streams of one pool. It is not safe for
// concurrent use.
type poolSteps struct {
	latest  int64 // of the streams since the last change
	former  int64 // of stepStreams streams before them
	streams int   // of latest
}

// largest returns the largest step of the latest streams.
func (p *poolSteps) largest() int64 { return max(p.latest, p.former) }

// record records the largest step that a stream has shown.
func (p *poolSteps) record(step int64) {
	p.latest = max(p.latest, step)
	p.streams++
	if p.streams >= stepStreams {
		p.former, p.latest, p.streams = p.latest, 0, 0
	}
}
