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
	// maxBodyBytes bounds the body of a request for an answer.
	maxBodyBytes = 4 << 20
	// bodyTimeout bounds the time in which a body has to arrive.
	bodyTimeout = 30 * time.Second
)

// readBody reads a whole body of bounded size within a bounded time.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // a recorder in a test has no deadline
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

// readJSON reads a body of exactly one JSON value.
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

func readCompletion(w http.ResponseWriter, r *http.Request, from *caller) (*generation, *core.Refusal) {
	var body completionBody
	if refusal := readJSON(w, r, &body); refusal != nil {
		return nil, refusal
	}
	return newGeneration(from, body, false)
}

func readChat(w http.ResponseWriter, r *http.Request, from *caller) (*generation, *core.Refusal) {
	var body chatBody
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
	return newGeneration(from, completionBody{
		Model:         body.Model,
		Prompt:        renderPrompt(body.Messages),
		MaxTokens:     limit,
		Seed:          body.Seed,
		Stream:        body.Stream,
		StreamOptions: body.StreamOptions,
		N:             body.N,
	}, true)
}

// renderPrompt writes a conversation as one prompt that ends where the assistant speaks.
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

// newGeneration checks a request. A request without a seed gets one, so that a rerun can
// reproduce the answer.
func newGeneration(from *caller, body completionBody, chat bool) (*generation, *core.Refusal) {
	model := from.view.Catalog.Model(body.Model)
	if model == nil {
		return nil, &core.Refusal{Kind: core.RefusedUnknownModel, Message: "unknown model " + strconv.Quote(clip(string(body.Model))), Run: core.NotRun}
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
	return &generation{
		model:        model,
		request:      engine.Request{Model: body.Model, Prompt: body.Prompt, MaxTokens: limit, Seed: seed},
		hash:         requestHash(body, limit),
		chat:         chat,
		stream:       body.Stream,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
	}, nil
}

// maxEchoBytes bounds how much of a caller's text a message repeats.
const maxEchoBytes = 64

func clip(text string) string { return text[:min(len(text), maxEchoBytes)] }

// requestHash hashes what determines the answer, but for a seed that the caller left open.
func requestHash(body completionBody, limit core.Tokens) uint64 {
	digest := xxhash.New()
	seed := "none"
	if body.Seed != nil {
		seed = strconv.FormatUint(*body.Seed, 10)
	}
	for _, part := range []string{string(body.Model), strconv.FormatInt(int64(limit), 10), seed, body.Prompt} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":" + part) // a hash takes every write
	}
	return digest.Sum64()
}
