package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/quarantine"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// hashPromptParts sets the keys of the prompt's parts in the request's pool.
func (h *requestHandler) hashPromptParts() {
	h.parts = nil
	for _, id := range h.request.PromptParts {
		h.parts = append(h.parts, core.PromptPart(xxhash.Sum64String(string(h.pool)+"\x00"+id)))
	}
}

// promptRefusal returns the refusal of a request under whose prompt engines crash, or nil. Callers are
// told to come back at different times after the hold.
func (h *requestHandler) promptRefusal(view *edgecontrol.View) *core.Refusal {
	now := h.now()
	hold := view.Hold(h.parts, now)
	if hold == nil {
		return nil
	}
	left := hold.Until - now
	return notRunRefusal(core.RefusedPromptHeld, h.holdMessage(hold), left+rand.N(left+1))
}

// holdMessage names the parts of the prompt that are held back.
func (h *requestHandler) holdMessage(hold *quarantine.Hold) string {
	var ids []string
	for i, part := range h.parts {
		if slices.Contains(hold.Parts, part) {
			ids = append(ids, h.request.PromptParts[i])
		}
	}
	return "engines crash under this part of the prompt: " + strings.Join(ids, ", ")
}

// recordPromptCrash records that a target crashed as it began to respond. It is ambiguous if other requests at the
// target may be the cause.
func (h *requestHandler) recordPromptCrash(target core.TargetID, ambiguous bool) {
	if len(h.parts) > 0 {
		crash := core.EngineCrash{ID: h.runKey(target), Engine: xxhash.Sum64String(string(target)), Ambiguous: ambiguous}
		h.gateway.options.Controller.RecordPartCrash(h.parts, crash)
	}
}

// recordPromptSound records that a target has begun to respond without a crash.
func (h *requestHandler) recordPromptSound(target core.TargetID) {
	if len(h.parts) > 0 {
		h.gateway.options.Controller.RecordPartSound(h.parts, h.runKey(target))
	}
}

// runKey identifies a run of the request.
func (h *requestHandler) runKey(target core.TargetID) uint64 {
	return xxhash.Sum64String(h.request.ID + "\x00" + string(target))
}

// recordCallPrompt records whether a target broke off its response to a call that was sent with the
// given context.
func (h *requestHandler) recordCallPrompt(ctx context.Context, target core.TargetID, response *bufferedResponse, err error) {
	var failed *ExchangeError
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &tooLarge) || ctx.Err() != nil:
	case errors.As(err, &failed) && failed.Phase == phaseAnswer:
		h.recordPromptCrash(target, false)
	case failed != nil && failed.Gone:
		h.recordPromptCrash(target, true)
	case err == nil && !response.NotRun && !response.failed():
		h.recordPromptSound(target)
	}
}
