package callerapi

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 4 << 20
	// bodyTimeout limits the time to receive a body.
	bodyTimeout = 30 * time.Second
)

// readBody reads a body of at most limit bytes within bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // not supported by test recorders
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &core.Refusal{Kind: core.RefusedTooLarge, Message: "the body exceeds " + strconv.FormatInt(limit, 10) + " bytes", Run: core.NotRun}
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}

// readJSON decodes a body that consists of exactly one JSON value.
func readJSON(w http.ResponseWriter, r *http.Request, into any) *core.Refusal {
	data, refusal := readBody(w, r, maxBodyBytes)
	if refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(data, into); err != nil {
		return badRequest("the body is not a valid request: %.200s", err.Error())
	}
	return nil
}

func readCompletionRequest(w http.ResponseWriter, r *http.Request, from *caller) (*generationRequest, *core.Refusal) {
	var body completionRequest
	if refusal := readJSON(w, r, &body); refusal != nil {
		return nil, refusal
	}
	return newGenerationRequest(from, body, false)
}

func readChatRequest(w http.ResponseWriter, r *http.Request, from *caller) (*generationRequest, *core.Refusal) {
	var body chatRequest
	if refusal := readJSON(w, r, &body); refusal != nil {
		return nil, refusal
	}
	if len(body.Messages) == 0 {
		return nil, badRequest("messages must not be empty")
	}
	limit := body.MaxCompletionTokens
	if limit == nil {
		limit = body.MaxTokens
	}
	return newGenerationRequest(from, completionRequest{
		Model:         body.Model,
		Prompt:        renderPrompt(body.Messages),
		MaxTokens:     limit,
		Seed:          body.Seed,
		Stream:        body.Stream,
		StreamOptions: body.StreamOptions,
		N:             body.N,
	}, true)
}

// renderPrompt formats a conversation as one prompt, which ends at the point where the
// assistant's message begins.
func renderPrompt(messages []chatMessage) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(string(message.Content))
		prompt.WriteString("\n")
	}
	prompt.WriteString("assistant: ")
	return prompt.String()
}

// newGenerationRequest validates a request. A request without a seed gets a random one, so
// that a rerun can reproduce the output.
func newGenerationRequest(from *caller, body completionRequest, chat bool) (*generationRequest, *core.Refusal) {
	model := from.view.Catalog.Model(body.Model)
	if model == nil {
		return nil, &core.Refusal{Kind: core.RefusedUnknownModel, Message: "unknown model " + strconv.Quote(truncate(string(body.Model))), Run: core.NotRun}
	}
	if body.Prompt == "" {
		return nil, badRequest("the prompt must not be empty")
	}
	if body.N != nil && *body.N != 1 {
		return nil, badRequest("n must be 1")
	}
	limit := model.MaxTokens
	if body.MaxTokens != nil {
		limit = *body.MaxTokens
	}
	if limit < 1 || limit > model.MaxTokens {
		return nil, badRequest("max_tokens must be from 1 to %d", model.MaxTokens)
	}
	seed := rand.Uint64()
	if body.Seed != nil {
		seed = *body.Seed
	}
	return &generationRequest{
		model:         model,
		engineRequest: engine.Request{Model: body.Model, Prompt: body.Prompt, MaxTokens: limit, Seed: seed},
		hash:          requestHash(body, limit),
		chat:          chat,
		stream:        body.Stream,
		includeUsage:  body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
	}, nil
}

// maxEchoBytes limits the part of a caller's text that is repeated in a message.
const maxEchoBytes = 64

func truncate(text string) string { return text[:min(len(text), maxEchoBytes)] }

// requestHash hashes the parameters that determine the output, except for a seed that the
// caller did not set.
func requestHash(body completionRequest, limit core.Tokens) uint64 {
	digest := xxhash.New()
	seed := "none"
	if body.Seed != nil {
		seed = strconv.FormatUint(*body.Seed, 10)
	}
	for _, part := range []string{string(body.Model), strconv.FormatInt(int64(limit), 10), seed, body.Prompt} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":" + part) // never returns an error
	}
	return digest.Sum64()
}
