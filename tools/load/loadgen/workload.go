package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// promptSigma is the sigma of the log-normal distribution of prompt lengths.
	promptSigma = 0.6
	// maxPromptBytes limits the drawn length of a prompt.
	maxPromptBytes = 8 << 10
	// sharedPrefixBytes is the length of the prefix that all prompts of a team share.
	sharedPrefixBytes = 256
)

// workload generates requests from a seed.
type workload struct {
	options     Options
	totalWeight int // sum of the callers' weights
}

func newWorkload(options Options) *workload {
	w := &workload{options: options}
	for _, c := range options.Callers {
		w.totalWeight += c.Weight
	}
	return w
}

// request returns the request with the given number.
func (w *workload) request(number int) request {
	rng := rand.New(rand.NewPCG(w.options.Seed, uint64(number)))
	caller := w.caller(rng.IntN(w.totalWeight))
	length := float64(w.options.PromptBytes) * math.Exp(promptSigma*rng.NormFloat64())
	return request{
		number: number,
		caller: caller,
		prompt: w.prompt(caller, number, int(min(length, maxPromptBytes))),
		seed:   uint64(rng.Uint32()),
	}
}

// caller returns the caller for a number below the total weight, in proportion to the
// weights.
func (w *workload) caller(at int) Caller {
	for _, c := range w.options.Callers {
		if at < c.Weight {
			return c
		}
		at -= c.Weight
	}
	return w.options.Callers[0]
}

// prompt returns a prompt of about the given length. It starts with the shared prefix of its
// team.
func (w *workload) prompt(caller Caller, number, length int) string {
	shared := strings.Repeat(fmt.Sprintf("Instructions of %s. ", caller.Team), sharedPrefixBytes)[:sharedPrefixBytes]
	prompt := fmt.Sprintf("%s Request %d of seed %d.", shared, number, w.options.Seed)
	if w.options.AnswerLength > 0 {
		prompt += fmt.Sprintf(" [[length=%d]]", w.options.AnswerLength)
	}
	if missing := length - len(prompt); missing > 0 {
		prompt += strings.Repeat(" word", missing/len(" word")+1)
	}
	return prompt
}

// interarrival returns the time between a request and the previous one in the open loop.
func (w *workload) interarrival(number int) time.Duration {
	rng := rand.New(rand.NewPCG(w.options.Seed, ^uint64(number)))
	return time.Duration(rng.ExpFloat64() / w.options.Rate * float64(time.Second))
}
