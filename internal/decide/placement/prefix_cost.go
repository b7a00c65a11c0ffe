package placement

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxCreditedTokens bounds the cached tokens that count. At prefillScale it weighs less than
	// remoteEnginePenalty and limitedPenalty, so that no prefix alone sends a request to another data centre
	// or to a limited target, and load differs by no more than that because of a prefix.
	maxCreditedTokens = 3_500
	// crowdedMemoryShare is the share of a target's memory, with the request, from which cached tokens do not
	// count: they would be evicted, and the request would wait for memory that other targets have.
	crowdedMemoryShare = 0.85
)

// RecordPrefix records that a request was placed at a target. It does nothing if the request names no prefix.
func (b *Balancer) RecordPrefix(c Candidate, request Request, now time.Duration) {
	if len(request.Prefix) > 0 {
		b.prefixes.Record(c.Target, within(request.Prefix, request.Prompt), c.Memory, now)
	}
}

// within returns the leading parts that fit into a prompt, the last one with what is left for it. Callers name the sizes
// of parts; larger ones would push what the engine has of other prompts out of the estimate.
func within(parts []core.PrefixPart, prompt core.Tokens) []core.PrefixPart {
	left := prompt
	for i, part := range parts {
		if part.Tokens > left {
			cut := slices.Clone(parts[:i+1])
			cut[i].Tokens = left
			return cut
		}
		left -= max(part.Tokens, 0)
	}
	return parts
}

// expectedCached returns the tokens of a request that a target is expected not to prefill.
func (b *Balancer) expectedCached(c *Candidate, request Request, now time.Duration) core.Tokens {
	if request.query == nil {
		return 0
	}
	return cachedBeside(c, request, b.load(c.Target), now)
}

// cachedBeside returns the tokens of a request that a target with the given load is expected to have cached.
func cachedBeside(c *Candidate, request Request, load Load, now time.Duration) core.Tokens {
	return min(request.query.Expected(c.Target, c.Memory, load.Memory+load.Copies, now), request.Prompt)
}

// prefixCredit returns by how much cached tokens lower the score of a target with the given load. It is zero at
// a target that has no room in which a cached prefix would help.
func prefixCredit(c *Candidate, request Request, load Load, now time.Duration) float64 {
	if request.query == nil || load.Requests >= c.Slots || float64(load.Memory+load.Copies+request.Memory) > crowdedMemoryShare*float64(c.Memory) {
		return 0
	}
	cached := cachedBeside(c, request, load, now)
	if load.PendingPrefill+request.Prompt-cached > slowPrefill {
		return 0
	}
	return float64(min(cached, maxCreditedTokens)) / prefillScale
}
