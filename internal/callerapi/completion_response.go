package callerapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// completionResponse is the body of a non-streaming response.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"` // Unix time in seconds
	Model   core.ModelID     `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   usageBody        `json:"usage"`
}

func newCompletionResponse(req *generationRequest, streamReq *relay.StreamRequest, sink *bufferedSink, now time.Time) completionResponse {
	choice := responseChoice{FinishReason: sink.finishReason}
	body := completionResponse{
		ID:      "cmpl-" + sink.generation.String(),
		Object:  "text_completion",
		Created: now.Unix(),
		Model:   req.model.ID,
		Usage:   newUsage(streamReq.TicketRequest.PromptTokens, core.Tokens(sink.delivered)),
	}
	text := sink.text.String()
	if req.chat {
		body.ID = "chat" + body.ID
		body.Object = "chat.completion"
		choice.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body.Choices = []responseChoice{choice}
	return body
}
