package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/routetable"
	"siskintide.example/siskintide/internal/edgecontrol"
)

const (
	// retrySoon tells a caller to come back when another host, or this one, may serve it.
	retrySoon = 100 * time.Millisecond
	// defaultBodyBytes bounds a body while no configuration says otherwise.
	defaultBodyBytes = 4 << 20
)

// Gateway is the callers' HTTP handler.
type Gateway struct {
	options Options
}

// New returns a gateway.
func New(options Options) *Gateway { return &Gateway{options: options} }

// ServeHTTP implements http.Handler. Requests are matched by the path as it was sent, so
// no mux that cleans paths stands before it.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job := &job{
		gateway: g,
		w:       w,
		r:       r,
		arrived: g.options.Clock(),
		log:     g.options.Log,
	}
	if len(r.TransferEncoding) > 0 {
		// What follows a body in chunks on the connection may be hidden from whoever reads
		// the length that the request may also have declared.
		w.Header().Set("Connection", "close")
	}
	if refusal := job.prepare(); refusal != nil {
		job.refuse(refusal)
		return
	}
	job.log = job.log.WithField("request", job.request.ID).WithField("route", job.route.ID)
	g.options.Controller.CountRequest(job.pool)
	if job.route.Kind == core.RouteStream {
		job.stream()
	} else {
		job.call()
	}
}

// prepare decodes the request, reads its body and finds its route and team.
func (j *job) prepare() *core.Refusal {
	var err error
	if j.request, err = j.gateway.options.Codec.DecodeRequest(j.r.Header); err != nil {
		return notRun(core.RefusedBadRequest, err.Error(), 0)
	}
	j.log = j.log.WithField("request", j.request.ID)
	limits := core.CallerLimits{BodyBytes: defaultBodyBytes}
	if table := j.gateway.options.Controller.View().Table; table != nil {
		limits = table.Config.Limits
	}
	if limits.HeaderBytes > 0 && headerBytes(j.r) > limits.HeaderBytes {
		return notRun(core.RefusedHeaderTooLarge, (&TooLargeError{Part: "header", Limit: limits.HeaderBytes}).Error(), 0)
	}
	if j.body, err = io.ReadAll(io.LimitReader(j.r.Body, limits.BodyBytes+1)); err != nil {
		return notRun(core.RefusedBadRequest, "the body could not be read", 0)
	}
	if int64(len(j.body)) > limits.BodyBytes {
		return notRun(core.RefusedTooLarge, (&TooLargeError{Part: "body", Limit: limits.BodyBytes}).Error(), 0)
	}
	return j.admit(j.gateway.options.Controller.View())
}

// admit finds route and team in the view. It runs after the whole request was read: the
// proof of the configuration's age then covers the moment at which the caller sent it.
func (j *job) admit(view *edgecontrol.View) *core.Refusal {
	now := j.gateway.options.Clock()
	j.view = view
	if !view.ConfigFresh(now, j.gateway.options.MaxConfigAge) {
		return j.admitUnproved(view)
	}
	j.route = view.Table.Route(j.r.Host, requestPath(j.r))
	if j.route == nil {
		return notRun(core.RefusedUnknownRoute, "no route has this host and path", 0)
	}
	if view.Table.NeedsKeys() && !j.route.Public {
		if j.team = view.Table.Team(j.request.APIKey); j.team == nil {
			return notRun(core.RefusedUnauthorized, "the API key is not known", 0)
		}
	}
	return j.choosePool(view.Table)
}

// admitUnproved serves what needs no key while the configuration may be old.
func (j *job) admitUnproved(view *edgecontrol.View) *core.Refusal {
	if view.Table == nil {
		return notRun(core.RefusedPlatformUnavailable, "no configuration is known yet", retrySoon)
	}
	j.route = view.Table.Route(j.r.Host, requestPath(j.r))
	if j.route == nil || view.Table.NeedsKeys() && !j.route.Public {
		return notRun(core.RefusedPlatformUnavailable, "the configuration may be out of date", retrySoon)
	}
	return j.choosePool(view.Table)
}

func (j *job) choosePool(table *routetable.Table) *core.Refusal {
	j.pool = table.SelectPool(j.route, j.request.ID)
	if j.pool == "" {
		return notRun(core.RefusedNoCapacity, "the route has no pool", retrySoon)
	}
	j.spec = table.Pool(j.pool)
	j.deadline = j.route.Timeout
	if j.request.Timeout > 0 && (j.deadline == 0 || j.request.Timeout < j.deadline) {
		j.deadline = j.request.Timeout
	}
	if j.deadline == 0 {
		j.deadline = defaultTimeout
	}
	return nil
}

// requestPath returns the path of a request as it was sent.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(originForm(r), "?")
	return path
}

// originForm returns path and query of a request as they were sent.
func originForm(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
