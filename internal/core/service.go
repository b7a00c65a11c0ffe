package core

// Service declares a plain service.
type Service struct {
	ID                 ServiceID `json:"id"`
	NonIdempotentPaths []string  `json:"unrepeatable_paths"` // path prefixes whose calls may run at most once
	TimeoutMS          int64     `json:"timeout_ms"`
	KeepAnswerS        int64     `json:"keep_answer_s"` // how long an answer is kept for retries with the same key
}
