package placement

import "github.com/cespare/xxhash/v2"

// sampleSize is the number of candidates that one placement scores, so that its time does
// not grow with the deployment. The best of so many is close to the best of all.
const sampleSize = 128

// sample returns sampleSize candidates at equal distances, starting at a position derived
// from the request's ID. It returns all candidates if there are no more than sampleSize.
func sample(candidates []Candidate, requestID string) []Candidate {
	if len(candidates) <= sampleSize {
		return candidates
	}
	chosen := make([]Candidate, 0, sampleSize)
	start := int(xxhash.Sum64String(requestID) % uint64(len(candidates)))
	for i := range sampleSize {
		chosen = append(chosen, candidates[(start+i*len(candidates)/sampleSize)%len(candidates)])
	}
	return chosen
}
