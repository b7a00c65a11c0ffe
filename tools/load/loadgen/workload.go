package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// promptSigma is the spread of the prompts' lognormal lengths.
	promptSigma = 0.6
	// maxPromptBytes bounds a prompt.
	maxPromptBytes = 8 << 10
	// teamPromptBytes is the length of the beginning that prompts of one team share.
	teamPromptBytes = 256
)

// workload makes requests from a seed.
type workload struct {
	options Options
	weights int // of all callers
}

func newWorkload(options Options) *workload {
	w := &workload{options: options}
	for _, c := range options.Callers {
		w.weights += c.Weight
	}
	return w
}

// request returns the request with a number.
func (w *workload) request(number int) request {
	rng := rand.New(rand.NewPCG(w.options.Seed, uint64(number)))
	caller := w.caller(rng.IntN(w.weights))
	length := float64(w.options.PromptBytes) * math.Exp(promptSigma*rng.NormFloat64())
	return request{
		number: number,
		caller: caller,
		prompt: w.prompt(caller, number, int(min(length, maxPromptBytes))),
		seed:   uint64(rng.Uint32()),
	}
}

// caller returns the caller that a number below the sum of weights falls to.
func (w *workload) caller(at int) Caller {
	for _, c := range w.options.Callers {
		if at < c.Weight {
			return c
		}
		at -= c.Weight
	}
	return w.options.Callers[0]
}

// prompt returns a prompt of about the length, which begins as all prompts of its team.
func (w *workload) prompt(caller Caller, number, length int) string {
	shared := strings.Repeat(fmt.Sprintf("Instructions of %s. ", caller.Team), teamPromptBytes)[:teamPromptBytes]
	prompt := fmt.Sprintf("%s Request %d of seed %d.", shared, number, w.options.Seed)
	if w.options.AnswerLength > 0 {
		prompt += fmt.Sprintf(" [[length=%d]]", w.options.AnswerLength)
	}
	if missing := length - len(prompt); missing > 0 {
		prompt += strings.Repeat(" word", missing/len(" word")+1)
	}
	return prompt
}

// gap returns the time between a request and the one before it in the open loop.
func (w *workload) gap(number int) time.Duration {
	rng := rand.New(rand.NewPCG(w.options.Seed, ^uint64(number)))
	return time.Duration(rng.ExpFloat64() / w.options.Rate * float64(time.Second))
}
