package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// defaultTimeout applies to requests for which neither the caller nor the route sets one.
const defaultTimeout = 60 * time.Second

// requestHandler serves one caller's request and holds its state.
type requestHandler struct {
	gateway      *Gateway
	w            http.ResponseWriter
	r            *http.Request
	log          log.Interface
	arrived      time.Duration
	request      Request
	body         []byte
	reserved     int64               // bytes of the memory for large bodies
	memory       *callerlimit.Share  // for the body up to its usual size
	largeMemory  *callerlimit.Share  // for the rest of the body
	responses    []*bufferedResponse // that were read, with their memory
	bodyUnread   bool                // the body has not been read completely; net/http would wait for its rest without end
	view         *edgecontrol.View   // view under which the request was admitted
	route        *core.Route
	team         *core.TeamKeys // nil if no key was needed
	pool         core.PoolID
	spec         *core.PoolSpec
	lastEvent    *int64            // id of the last event that the caller has of a stream that it resumes; nil for none
	parts        []core.PromptPart // keys of the prompt's parts that other requests may share
	deadline     time.Duration     // relative to arrived
	attempts     int               // attempts that reached a target
	possibleRuns int               // attempts whose target may have run the request
	rateLimit    *float64          // named by the last target that responded; nil for none

	expectedCached core.Tokens // tokens of the prompt that the last target was expected to have cached
}

func (h *requestHandler) now() time.Duration { return h.gateway.options.Clock() }

// timeLeft returns the time until the request's deadline.
func (h *requestHandler) timeLeft() time.Duration { return h.arrived + h.deadline - h.now() }

// callerTimeLeft returns the time that the caller still waits, also for an attempt after this one, which
// the route's timeout does not bound.
func (h *requestHandler) callerTimeLeft() time.Duration {
	if h.request.Timeout == 0 {
		return h.timeLeft()
	}
	return h.arrived + h.request.Timeout - h.now()
}

func (h *requestHandler) teamID() core.TeamID {
	if h.team == nil {
		return ""
	}
	return h.team.Team
}

func (h *requestHandler) class() core.Class { return core.Class(h.route.Kind.String()) }

// priority returns the team's priority if it has one, otherwise that of the route.
func (h *requestHandler) priority() *core.Priority {
	if h.team != nil && h.team.Priority != nil {
		return h.team.Priority
	}
	return &h.route.Priority
}

// placementRequest returns the request's requirements for a target other than those to avoid.
func (h *requestHandler) placementRequest(avoid []core.TargetID) placement.Request {
	request := placement.Request{ID: h.request.ID, Avoid: avoid}
	if h.spec != nil && h.spec.Engine != nil {
		request.Memory = h.request.PromptTokens + h.request.ForecastTokens()
		request.Prompt = h.request.PromptTokens
		request.GapGoal = h.gapGoal()
	}
	return request
}

// gapGoal returns the longest pause between events that is not late; zero if the pace of the pool's engines is not
// learned.
func (h *requestHandler) gapGoal() time.Duration {
	if h.spec == nil || h.spec.Engine == nil || !h.spec.LearnPace || h.route.Kind != core.RouteStream {
		return 0
	}
	return h.route.GapGoal
}

// contentKey identifies what the caller sends. It is the same when the caller sends the request again
// under another id. It is zero while no target is limited, as nobody is told then when to come back.
func (h *requestHandler) contentKey() uint64 {
	if len(h.gateway.options.Controller.View().LimitedTargets) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, text := range append([]string{h.r.Method, h.r.Host, h.r.RequestURI, string(h.pool)}, h.request.PromptParts...) {
		_, _ = digest.WriteString(text + "\x00") // never fails
	}
	_, _ = digest.Write(h.body)
	return digest.Sum64()
}

// newAttemptRequest builds the HTTP request of one attempt.
func (h *requestHandler) newAttemptRequest(ctx context.Context, address string, attempt Attempt) *http.Request {
	attempt.RequestID = h.request.ID
	attempt.Team = h.teamID()
	attempt.TimeLeft = max(h.gateway.options.Controller.View().Shutdown.Left(h.now(), h.timeLeft()), time.Millisecond)
	header := forwardedHeader(h.r.Header)
	h.gateway.options.Codec.EncodeAttempt(header, attempt)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	request := &http.Request{
		Method:        h.r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Opaque: originForm(h.r)},
		Host:          h.r.Host,
		Header:        header,
		ContentLength: int64(len(h.body)),
		Close:         true,
	}
	if len(h.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(h.body))
	}
	return request.WithContext(ctx)
}

// recordEnd logs the request's outcome and records it in the metrics.
func (h *requestHandler) recordEnd(outcome string, fields log.Fields) {
	age, _ := h.view.ConfigProof.Age(h.arrived)
	took := h.now() - h.arrived
	if fields == nil {
		fields = log.Fields{}
	}
	fields["outcome"] = outcome
	fields["team"] = h.teamID()
	fields["pool"] = h.pool
	fields["revision"] = h.view.Table.Config.Revision
	fields["config_age_ms"] = age.Milliseconds()
	fields["sends"] = h.attempts
	if h.rateLimit != nil {
		fields["target_rate_limit"] = *h.rateLimit
	}
	if h.expectedCached > 0 {
		fields["expected_cached"] = h.expectedCached
	}
	fields["took_ms"] = took.Milliseconds()
	h.log.WithFields(fields).Info("request ended")
	h.gateway.options.Metrics.RequestEnded(h.teamID(), h.class(), outcome, took)
}
