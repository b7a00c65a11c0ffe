package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// defaultTimeout bounds a request for which neither caller nor route names a bound.
const defaultTimeout = 60 * time.Second

// job is one caller's request on its way.
type job struct {
	gateway  *Gateway
	w        http.ResponseWriter
	r        *http.Request
	log      log.Interface
	arrived  time.Duration
	request  Request
	body     []byte
	view     *edgecontrol.View // that admitted the request
	route    *core.Route
	team     *core.TeamKeys // nil if no key was needed
	pool     core.PoolID
	spec     *core.PoolSpec
	deadline time.Duration // from the arrival
	sends    int           // that reached a target
	ran      int           // that may have run
}

func (j *job) now() time.Duration { return j.gateway.options.Clock() }

// left returns the time until the request's deadline.
func (j *job) left() time.Duration { return j.arrived + j.deadline - j.now() }

func (j *job) teamID() core.TeamID {
	if j.team == nil {
		return ""
	}
	return j.team.Team
}

func (j *job) class() core.Class { return core.Class(j.route.Kind.String()) }

// priority returns the team's priority, or that of the route.
func (j *job) priority() *core.Priority {
	if j.team != nil && j.team.Priority != nil {
		return j.team.Priority
	}
	return &j.route.Priority
}

// need returns what the request asks of a target.
func (j *job) need(avoid []core.TargetID) placement.Request {
	need := placement.Request{ID: j.request.ID, Avoid: avoid}
	if j.spec != nil && j.spec.Engine != nil {
		need.Memory = j.request.PromptTokens + j.request.Output()
		need.Prompt = j.request.PromptTokens
	}
	return need
}

// outgoing makes the request for one send.
func (j *job) outgoing(ctx context.Context, address string, send Attempt) *http.Request {
	send.RequestID = j.request.ID
	send.Team = j.teamID()
	send.TimeLeft = max(j.left(), time.Millisecond)
	header := passedOn(j.r.Header)
	j.gateway.options.Codec.EncodeAttempt(header, send)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	request := &http.Request{
		Method:        j.r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Opaque: originForm(j.r)},
		Host:          j.r.Host,
		Header:        header,
		ContentLength: int64(len(j.body)),
		Close:         true,
	}
	if len(j.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(j.body))
	}
	return request.WithContext(ctx)
}

// finish logs how the request ended.
func (j *job) finish(outcome string, fields log.Fields) {
	age, _ := j.view.ConfigProof.Age(j.arrived)
	took := j.now() - j.arrived
	if fields == nil {
		fields = log.Fields{}
	}
	fields["outcome"] = outcome
	fields["team"] = j.teamID()
	fields["pool"] = j.pool
	fields["revision"] = j.view.Table.Config.Revision
	fields["config_age_ms"] = age.Milliseconds()
	fields["sends"] = j.sends
	fields["took_ms"] = took.Milliseconds()
	j.log.WithFields(fields).Info("request ended")
	j.gateway.options.Metrics.RequestEnded(j.teamID(), j.class(), outcome, took)
}
