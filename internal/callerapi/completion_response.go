package callerapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// answerBody is an answer given in one piece.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"` // seconds since 1970
	Model   core.ModelID   `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   usageBody      `json:"usage"`
}

func wholeAnswer(asked *generation, job *relay.StreamRequest, sink *wholeSink, now time.Time) answerBody {
	choice := answerChoice{FinishReason: sink.reason}
	body := answerBody{
		ID:      "cmpl-" + sink.generation.String(),
		Object:  "text_completion",
		Created: now.Unix(),
		Model:   asked.model.ID,
		Usage:   newUsage(job.TicketRequest.PromptTokens, core.Tokens(sink.delivered)),
	}
	text := sink.text.String()
	if asked.chat {
		body.ID = "chat" + body.ID
		body.Object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body.Choices = []answerChoice{choice}
	return body
}
