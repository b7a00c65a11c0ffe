package callerapi

import "siskintide.example/siskintide/internal/core"

// usageBody holds the token counts of a response. The count of the prompt is an estimate.
type usageBody struct {
	PromptTokens     core.Tokens `json:"prompt_tokens"`
	CompletionTokens core.Tokens `json:"completion_tokens"`
	TotalTokens      core.Tokens `json:"total_tokens"`
}

func newUsage(prompt, completion core.Tokens) usageBody {
	return usageBody{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}
