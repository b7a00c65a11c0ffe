package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/routetable"
	"siskintide.example/siskintide/internal/edgecontrol"
)

const (
	// retrySoon is the Retry-After of refusals for a condition that may be over a moment later,
	// or does not hold at another host.
	retrySoon = 100 * time.Millisecond
	// bodyTimeout bounds the time for reading a request's body. A caller that sends a byte now
	// and then would occupy its connection for good.
	bodyTimeout = 30 * time.Second
	// writeMargin is how long after the request's deadline a write to its caller is given up. A
	// caller that does not read blocks the write.
	writeMargin = 250 * time.Millisecond
	// lateWriteTime is the time for a response that is written after its request's deadline, or right before it, as
	// by a host that was frozen.
	lateWriteTime = time.Second
	// defaultMaxBodyBytes bounds a request body until a configuration is known.
	defaultMaxBodyBytes = 4 << 20
)

// Gateway is the HTTP handler for callers' requests.
type Gateway struct {
	options Options
	buffers bufferBudget
	bodies  *bodyBudget
	steps   eventSteps
}

// New returns a gateway.
func New(options Options) *Gateway {
	return &Gateway{options: options, buffers: bufferBudget{memory: options.Memory}, bodies: newBodyBudget(options.BodyMemory)}
}

// SetBodyMemory changes Options.BodyMemory. Bodies that are held are kept; later ones wait until there is room for them.
func (g *Gateway) SetBodyMemory(size int64) { g.bodies.resize(size) }

// ServeHTTP implements http.Handler. Routes match the path as it was sent, so the gateway
// must not be mounted behind a mux that cleans paths.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := &requestHandler{
		gateway: g,
		w:       w,
		r:       r,
		arrived: g.options.Clock(),
		log:     g.options.Log,
	}
	if len(r.TransferEncoding) > 0 {
		// A request that has both a chunked body and a Content-Length may be used for request
		// smuggling: another proxy may find a different end of the body. The connection is
		// therefore not reused.
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	h.setDeadline(control.SetReadDeadline, bodyTimeout)
	h.setDeadline(control.SetWriteDeadline, bodyTimeout+writeMargin)
	detach := context.AfterFunc(g.options.Stopping, func() { h.setDeadline(control.SetReadDeadline, time.Nanosecond) })
	refusal := h.prepare()
	detach()
	h.setDeadline(control.SetReadDeadline, 0)
	defer h.releaseMemory()
	if refusal != nil && h.bodyUnread {
		h.refuseBody(control, refusal)
		return
	}
	if refusal != nil {
		h.refuse(refusal)
		return
	}
	callerlimit.MarkAdmitted(r.Context())
	h.setDeadline(control.SetWriteDeadline, h.timeLeft()+writeMargin)
	h.log = h.log.WithField("request", h.request.ID).WithField("route", h.route.ID)
	g.options.Controller.CountRequest(h.pool)
	h.hashPromptParts()
	if refusal := h.promptRefusal(h.view); refusal != nil {
		h.refuse(refusal)
		return
	}
	if refusal := h.shutdownRefusal(); refusal != nil {
		h.refuse(refusal)
		return
	}
	if h.route.Kind == core.RouteStream {
		h.serveStream()
	} else {
		h.serveCall()
	}
}

// setDeadline sets a deadline of the caller's connection; zero removes it.
func (h *requestHandler) setDeadline(set func(time.Time) error, in time.Duration) {
	at := time.Time{}
	if in > 0 {
		at = time.Now().Add(in)
	}
	if err := set(at); err != nil {
		h.log.WithError(err).Warn("deadline of the caller's connection could not be set")
	}
}

// allowLateWrite gives a response time to be written if its request's deadline has passed or is near. The response is
// still delivered: the caller may be waiting for it.
func (h *requestHandler) allowLateWrite() {
	if h.deadline > 0 && h.timeLeft() < writeMargin {
		h.setDeadline(http.NewResponseController(h.w).SetWriteDeadline, lateWriteTime)
	}
}

// prepare decodes the request, reads its body and finds its route and team.
func (h *requestHandler) prepare() *core.Refusal {
	var err error
	h.bodyUnread = h.r.ContentLength != 0
	if h.request, err = h.gateway.options.Codec.DecodeRequest(h.r.Header); err != nil {
		return notRunRefusal(core.RefusedBadRequest, err.Error(), 0)
	}
	h.log = h.log.WithField("request", h.request.ID)
	limits := h.callerLimits()
	if limits.HeaderBytes > 0 && headerBytes(h.r) > limits.HeaderBytes {
		return notRunRefusal(core.RefusedHeaderTooLarge, (&TooLargeError{Part: "header", Limit: limits.HeaderBytes}).Error(), 0)
	}
	if refusal := h.readBody(limits.BodyBytes); refusal != nil {
		return refusal
	}
	h.bodyUnread = false
	return h.admit(h.gateway.options.Controller.View())
}

// callerLimits returns the limits of the configuration, or the default while none is known.
func (h *requestHandler) callerLimits() core.CallerLimits {
	if table := h.gateway.options.Controller.View().Table; table != nil {
		return table.Config.Limits
	}
	return core.CallerLimits{BodyBytes: defaultMaxBodyBytes}
}

// admit finds the route, team and pool in the view. It runs after the complete request has
// been read, so that the age of the configuration is checked at a moment after the caller
// sent the request.
func (h *requestHandler) admit(view *edgecontrol.View) *core.Refusal {
	now := h.gateway.options.Clock()
	h.view = view
	if !view.ConfigFresh(now, h.gateway.options.MaxConfigAge) {
		return h.admitStale(view)
	}
	h.route = view.Table.Route(h.r.Host, requestPath(h.r))
	if h.route == nil {
		return notRunRefusal(core.RefusedUnknownRoute, "no route has this host and path", 0)
	}
	if view.Table.NeedsKeys() && !h.route.Public {
		if h.team = view.Table.Team(h.request.APIKey); h.team == nil {
			return notRunRefusal(core.RefusedUnauthorized, "the API key is not known", 0)
		}
	}
	return h.selectPool(view.Table)
}

// admitStale admits requests that need no key while the configuration may be out of date.
func (h *requestHandler) admitStale(view *edgecontrol.View) *core.Refusal {
	if view.Table == nil {
		return notRunRefusal(core.RefusedPlatformUnavailable, "no configuration is known yet", retrySoon)
	}
	h.route = view.Table.Route(h.r.Host, requestPath(h.r))
	if h.route == nil || view.Table.NeedsKeys() && !h.route.Public {
		return notRunRefusal(core.RefusedPlatformUnavailable, "the configuration may be out of date", retrySoon)
	}
	return h.selectPool(view.Table)
}

// selectPool chooses the pool and sets the request's deadline.
func (h *requestHandler) selectPool(table *routetable.Table) *core.Refusal {
	h.pool = table.SelectPool(h.route, h.request.ID)
	if h.pool == "" {
		return notRunRefusal(core.RefusedNoCapacity, "the route has no pool", retrySoon)
	}
	h.spec = table.Pool(h.pool)
	h.deadline = h.route.Timeout
	if h.request.Timeout > 0 && (h.deadline == 0 || h.request.Timeout < h.deadline) {
		h.deadline = h.request.Timeout
	}
	if h.deadline == 0 {
		h.deadline = defaultTimeout
	}
	return h.readLastEvent()
}

// requestPath returns the path of a request as it was sent.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(originForm(r), "?")
	return path
}

// originForm returns the path and query of a request as they were sent.
func originForm(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
