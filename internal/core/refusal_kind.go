package core

// RefusalKind is the machine-readable type of a refusal.
type RefusalKind string

const (
	RefusedBadRequest          RefusalKind = "bad_request"
	RefusedUnauthorized        RefusalKind = "unauthorized"
	RefusedUnknownModel        RefusalKind = "unknown_model"
	RefusedUnknownService      RefusalKind = "unknown_service"
	RefusedUnknownRoute        RefusalKind = "unknown_route"
	RefusedTooLarge            RefusalKind = "too_large"
	RefusedSlowBody            RefusalKind = "slow_body" // the body has not arrived in time
	RefusedHeaderTooLarge      RefusalKind = "header_too_large"
	RefusedQueueFull           RefusalKind = "queue_full"
	RefusedQueueTimeout        RefusalKind = "queue_timeout"
	RefusedNoCapacity          RefusalKind = "no_capacity"
	RefusedLeaving             RefusalKind = "leaving"
	RefusedStaleTicket         RefusalKind = "stale_ticket"
	RefusedTargetFailed        RefusalKind = "target_failed"
	RefusedDiverged            RefusalKind = "generation_diverged"
	RefusedStreamGone          RefusalKind = "stream_gone"
	RefusedKeyConflict         RefusalKind = "idempotency_key_conflict"
	RefusedKeyMissing          RefusalKind = "idempotency_key_missing"
	RefusedInProgress          RefusalKind = "in_progress"
	RefusedOutcomeUnknown      RefusalKind = "outcome_unknown"
	RefusedPlatformUnavailable RefusalKind = "platform_unavailable"
	RefusedRateLimited         RefusalKind = "rate_limited" // the targets' rate limits leave no room
	RefusedPromptHeld          RefusalKind = "prompt_held"  // engines crash under a part of the prompt
)
