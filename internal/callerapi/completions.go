package callerapi

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

const (
	// bytesPerToken is how many bytes of prompt count as one token when a demand is sized.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt's leading block that engines cache.
	prefixBytes = 256
)

func (f *Front) completions(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	asked, refusal := readCompletion(w, r, from)
	if refusal != nil {
		return refusal
	}
	return f.generate(w, r, from, asked)
}

func (f *Front) chatCompletions(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	asked, refusal := readChat(w, r, from)
	if refusal != nil {
		return refusal
	}
	return f.generate(w, r, from, asked)
}

// generate runs a checked request, from its start or from the event that the caller names.
func (f *Front) generate(w http.ResponseWriter, r *http.Request, from *caller, asked *generation) *core.Refusal {
	job := &relay.StreamRequest{TicketRequest: demandOf(from, asked), Request: asked.request, Rerunnable: true, Resumable: asked.stream}
	if text := r.Header.Get(headerLastEvent); text != "" {
		return f.repeat(w, r, from, asked, job, text)
	}
	if !asked.stream {
		return f.answerWhole(w, r, from, asked, job)
	}
	return f.relayStream(w, r, from, asked, job)
}

// repeat resumes the stream of a request that the caller has made before.
func (f *Front) repeat(w http.ResponseWriter, r *http.Request, from *caller, asked *generation, job *relay.StreamRequest, text string) *core.Refusal {
	position, err := relay.DecodeEventID(f.options.EventKey, from.team, text)
	if err != nil {
		return badRequest("%s", err.Error())
	}
	if position.RequestHash != asked.hash || !asked.stream {
		return badRequest("Last-Event-ID belongs to another request")
	}
	asked.request.Seed, job.Request.Seed = position.Seed, position.Seed
	return f.resume(w, r, from, asked, job, position)
}

// demandOf returns the demand for a ticket, without a generation.
func demandOf(from *caller, asked *generation) core.TicketRequest {
	prompt := asked.request.Prompt
	return core.TicketRequest{
		EntryHost:    from.view.Self.ID,
		Team:         from.team,
		Pool:         core.ModelPool(asked.model.ID),
		Class:        from.class.ID,
		Priority:     from.class.Priority,
		PromptTokens: core.Tokens(len(prompt)/bytesPerToken + 1),
		MaxTokens:    asked.request.MaxTokens,
		PrefixHash:   xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]),
		QueueBudget:  time.Duration(asked.model.QueueMS) * time.Millisecond,
	}
}

// streams resumes a stream by its event id alone. Without the request it cannot be rerun.
func (f *Front) streams(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	position, err := relay.DecodeEventID(f.options.EventKey, from.team, r.Header.Get(headerLastEvent))
	if err != nil {
		return badRequest("%s", err.Error())
	}
	asked := &generation{hash: position.RequestHash, stream: true, chat: position.Chat}
	asked.request.Seed = position.Seed
	if target := from.view.Catalog.Target(position.Target); target != nil {
		asked.request.Model = target.Model
	}
	job := &relay.StreamRequest{TicketRequest: core.TicketRequest{Team: from.team, Class: from.class.ID}, Resumable: true}
	return f.resume(w, r, from, asked, job, position)
}

// resume goes on after the event that the caller has. A finished stream only gets its end marker.
func (f *Front) resume(w http.ResponseWriter, r *http.Request, from *caller, asked *generation, job *relay.StreamRequest, position relay.EventID) *core.Refusal {
	if position.Final {
		sink := f.newStreamSink(w, from, asked)
		sink.End(relay.StreamResult{Delivered: position.Sequence})
		return nil
	}
	job.Resume = &relay.ResumePoint{
		Generation:  position.Generation,
		Target:      position.Target,
		Incarnation: position.Incarnation,
		Sequence:    position.Sequence,
		Digest:      position.Digest,
	}
	if target := from.view.Catalog.Target(position.Target); target != nil {
		job.Resume.Address = target.Address
	}
	return f.relayStream(w, r, from, asked, job)
}

// relayStream streams the answer as server-sent events.
func (f *Front) relayStream(w http.ResponseWriter, r *http.Request, from *caller, asked *generation, job *relay.StreamRequest) *core.Refusal {
	sink := f.newStreamSink(w, from, asked)
	f.relay.Run(r.Context(), job, sink)
	return sink.refusal
}

// answerWhole gives the answer in one piece. The caller has seen nothing of an answer
// whose rerun gave another text, so that it may begin anew, under the retry budget.
func (f *Front) answerWhole(w http.ResponseWriter, r *http.Request, from *caller, asked *generation, job *relay.StreamRequest) *core.Refusal {
	sink := &wholeSink{}
	f.relay.Run(r.Context(), job, sink)
	if diverged(sink.refusal) && f.budget.Spend() {
		sink = &wholeSink{}
		f.relay.Run(r.Context(), job, sink)
	}
	if sink.refusal != nil {
		return sink.refusal
	}
	if !sink.ended { // the caller has left
		return nil
	}
	writeJSON(w, http.StatusOK, wholeAnswer(asked, job, sink, f.options.Clock.Now()))
	return nil
}

func diverged(refusal *core.Refusal) bool {
	return refusal != nil && refusal.Kind == core.RefusedDiverged
}
