package callerapi

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

const (
	// bytesPerToken is the number of prompt bytes that are counted as one token in the
	// estimate for a ticket request.
	bytesPerToken = 4
	// prefixHashBytes is the length of the prompt prefix that is hashed for the ticket
	// request. Engines cache the leading block of a prompt.
	prefixHashBytes = 256
)

func (h *Handler) completions(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	req, refusal := readCompletionRequest(w, r, from)
	if refusal != nil {
		return refusal
	}
	return h.generate(w, r, from, req)
}

func (h *Handler) chatCompletions(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	req, refusal := readChatRequest(w, r, from)
	if refusal != nil {
		return refusal
	}
	return h.generate(w, r, from, req)
}

// generate runs a validated request from its start, or resumes it after the event in the
// Last-Event-ID header.
func (h *Handler) generate(w http.ResponseWriter, r *http.Request, from *caller, req *generationRequest) *core.Refusal {
	if refusal := h.refuseIfLeaving(); refusal != nil {
		return refusal
	}
	streamReq := &relay.StreamRequest{TicketRequest: newTicketRequest(from, req), Request: req.engineRequest, Rerunnable: true, Resumable: req.stream}
	if lastEventID := r.Header.Get(headerLastEventID); lastEventID != "" {
		return h.resumeRequest(w, r, from, req, streamReq, lastEventID)
	}
	if !req.stream {
		return h.respondBuffered(w, r, from, req, streamReq)
	}
	return h.relayStream(w, r, from, req, streamReq)
}

// resumeRequest resumes the stream of a request that the caller sends again.
func (h *Handler) resumeRequest(w http.ResponseWriter, r *http.Request, from *caller, req *generationRequest, streamReq *relay.StreamRequest, lastEventID string) *core.Refusal {
	eventID, err := relay.DecodeEventID(h.options.EventKey, from.team, lastEventID)
	if err != nil {
		return badRequest("%s", err.Error())
	}
	if eventID.RequestHash != req.hash || !req.stream {
		return badRequest("Last-Event-ID belongs to another request")
	}
	req.engineRequest.Seed, streamReq.Request.Seed = eventID.Seed, eventID.Seed
	return h.resume(w, r, from, req, streamReq, eventID)
}

// newTicketRequest returns a ticket request, without a generation.
func newTicketRequest(from *caller, req *generationRequest) core.TicketRequest {
	prompt := req.engineRequest.Prompt
	return core.TicketRequest{
		EntryHost:    from.view.Self.ID,
		Team:         from.team,
		Pool:         core.ModelPool(req.model.ID),
		Class:        from.class.ID,
		Priority:     from.class.Priority,
		PromptTokens: core.Tokens(len(prompt)/bytesPerToken + 1),
		MaxTokens:    req.engineRequest.MaxTokens,
		PrefixHash:   xxhash.Sum64String(prompt[:min(len(prompt), prefixHashBytes)]),
		QueueBudget:  time.Duration(req.model.QueueMS) * time.Millisecond,
	}
}

// resumeByEventID resumes a stream by its event id alone. Without the original request the
// generation cannot be rerun.
func (h *Handler) resumeByEventID(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	eventID, err := relay.DecodeEventID(h.options.EventKey, from.team, r.Header.Get(headerLastEventID))
	if err != nil {
		return badRequest("%s", err.Error())
	}
	req := &generationRequest{hash: eventID.RequestHash, stream: true, chat: eventID.Chat}
	req.engineRequest.Seed = eventID.Seed
	if target := from.view.Catalog.Target(eventID.Target); target != nil {
		req.engineRequest.Model = target.Model
	}
	streamReq := &relay.StreamRequest{TicketRequest: core.TicketRequest{Team: from.team, Class: from.class.ID}, Resumable: true}
	return h.resume(w, r, from, req, streamReq, eventID)
}

// resume continues a stream after the given event. If that was the last event of the
// stream, only the end marker is sent.
func (h *Handler) resume(w http.ResponseWriter, r *http.Request, from *caller, req *generationRequest, streamReq *relay.StreamRequest, eventID relay.EventID) *core.Refusal {
	if eventID.Final {
		sink := h.newStreamSink(w, from, req)
		sink.End(relay.StreamResult{Delivered: eventID.Sequence})
		return nil
	}
	streamReq.Resume = &relay.ResumePoint{
		Generation:  eventID.Generation,
		Target:      eventID.Target,
		Incarnation: eventID.Incarnation,
		Sequence:    eventID.Sequence,
		Digest:      eventID.Digest,
	}
	if target := from.view.Catalog.Target(eventID.Target); target != nil {
		streamReq.Resume.Address = target.Address
	}
	return h.relayStream(w, r, from, req, streamReq)
}

// relayStream sends the generation as server-sent events.
func (h *Handler) relayStream(w http.ResponseWriter, r *http.Request, from *caller, req *generationRequest, streamReq *relay.StreamRequest) *core.Refusal {
	sink := h.newStreamSink(w, from, req)
	h.relay.Run(r.Context(), streamReq, sink)
	return sink.refusal
}

// respondBuffered sends the generation as one response. If a rerun diverged from the first
// run, the generation is started again once, within the retry budget: the caller has not
// received any part of it.
func (h *Handler) respondBuffered(w http.ResponseWriter, r *http.Request, from *caller, req *generationRequest, streamReq *relay.StreamRequest) *core.Refusal {
	sink := &bufferedSink{}
	h.relay.Run(r.Context(), streamReq, sink)
	if diverged(sink.refusal) && h.budget.TrySpend() {
		sink = &bufferedSink{}
		h.relay.Run(r.Context(), streamReq, sink)
	}
	if sink.refusal != nil {
		return sink.refusal
	}
	if !sink.ended { // the caller has disconnected
		return nil
	}
	writeJSON(w, http.StatusOK, newCompletionResponse(req, streamReq, sink, h.options.Clock.Now()))
	return nil
}

func diverged(refusal *core.Refusal) bool {
	return refusal != nil && refusal.Kind == core.RefusedDiverged
}
