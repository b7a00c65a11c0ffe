package claim

import "siskintide.example/siskintide/internal/core"

func platformUnavailable() *core.Refusal {
	return &core.Refusal{
		Kind:       core.RefusedPlatformUnavailable,
		Message:    "nothing was sent to the service by this request, but whether an earlier one with the key has run cannot be read; repeat it with the same key",
		Run:        core.RunUnknown,
		RetryAfter: retryPlatform,
	}
}

func claimNotAccepted() *core.Refusal {
	return &core.Refusal{
		Kind:       core.RefusedPlatformUnavailable,
		Message:    "the platform did not take the claim on the key",
		Run:        core.NotRun,
		RetryAfter: retryPlatform,
	}
}

func concurrentRequest() *core.Refusal {
	return &core.Refusal{
		Kind:       core.RefusedInProgress,
		Message:    "another request with the key came in between; nothing has run",
		Run:        core.NotRun,
		RetryAfter: retryInProgress,
	}
}

func claimExpired() *core.Refusal {
	return &core.Refusal{
		Kind:       core.RefusedInProgress,
		Message:    "an earlier request with the key was given up before it was sent; nothing has run",
		Run:        core.NotRun,
		RetryAfter: retryInProgress,
	}
}

func inProgress() *core.Refusal {
	return &core.Refusal{
		Kind:       core.RefusedInProgress,
		Message:    "a request with the key is running; repeat it later with the same key for its answer",
		Run:        core.RunUnknown,
		RetryAfter: retryInProgress,
	}
}

func outcomeUnknown() *core.Refusal {
	return &core.Refusal{
		Kind:    core.RefusedOutcomeUnknown,
		Message: "the request may have run; it will not be run again under its key",
		Run:     core.RunUnknown,
	}
}

func keyConflict() *core.Refusal {
	return &core.Refusal{
		Kind:    core.RefusedKeyConflict,
		Message: "the key was used for another request; this one was not run",
		Run:     core.NotRun,
	}
}
