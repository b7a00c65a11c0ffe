package placement

import "github.com/cespare/xxhash/v2"

// sampleSize is the number of candidates that one placement looks at, so that its time does
// not grow with the deployment; the best of so many is among the best of all.
const sampleSize = 128

// sample returns candidates at even distances, from a start that the request gives. All
// are returned if they are few.
func sample(candidates []Candidate, request string) []Candidate {
	if len(candidates) <= sampleSize {
		return candidates
	}
	chosen := make([]Candidate, 0, sampleSize)
	start := int(xxhash.Sum64String(request) % uint64(len(candidates)))
	for i := range sampleSize {
		chosen = append(chosen, candidates[(start+i*len(candidates)/sampleSize)%len(candidates)])
	}
	return chosen
}
