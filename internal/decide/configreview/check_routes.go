package configreview

import (
	"strconv"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
)

func (r *reviewer) checkRoutes() {
	declared := map[string]bool{}
	for _, service := range r.document.Services {
		declared[service.Name] = true
	}
	names := map[string]bool{}
	for i := range r.document.Routes {
		route := &r.document.Routes[i]
		r.checkName(names, SectionRoute, i, route.Name)
		r.checkNegative(SectionRoute, route.Name, i, route.attributes())
		r.checkMatch(i, route)
		r.checkServed(i, route, declared)
		r.checkKind(i, route)
		r.checkGoals(i, route)
	}
}

// addRoute adds a finding about a route.
func (r *reviewer) addRoute(index int, finding Finding) {
	finding.Section, finding.Index, finding.Name = SectionRoute, index, r.document.Routes[index].Name
	r.add(finding)
}

// checkMatch adds a finding if no request can match the route.
func (r *reviewer) checkMatch(i int, route *Route) {
	switch {
	case !hostMatches(route.Host):
		r.addRoute(i, Finding{Code: HostNeverMatches, Field: FieldHost, Value: route.Host})
	case !prefixMatches(route.Prefix):
		r.addRoute(i, Finding{Code: PrefixNeverMatches, Field: FieldPrefix, Value: route.Prefix})
	}
	if by, shadowed := r.shadows[i]; shadowed {
		r.addRoute(i, Finding{Code: Shadowed, Field: FieldPrefix, Value: route.Prefix, Other: r.document.Routes[by].Name})
	}
}

// matches reports whether any request can match the route with this index.
func (r *reviewer) matches(i int) bool {
	_, shadowed := r.shadows[i]
	route := &r.document.Routes[i]
	return !shadowed && hostMatches(route.Host) && prefixMatches(route.Prefix)
}

// hostMatches reports whether a request can have this host name. Routes are looked up by the name without the port.
func hostMatches(host string) bool {
	withPort := strings.LastIndexByte(host, ':') >= 0 && !strings.HasSuffix(host, "]")
	return host != "" && !withPort && !strings.ContainsAny(host, "*/ ")
}

// prefixMatches reports whether the prefix ends a part of a path. Routes are looked up by whole parts.
func prefixMatches(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

// shadows returns, by the index of each route whose host and prefix a later one repeats, the index of the last such
// route, which gets all the requests.
func shadows(routes []Route) map[int]int {
	last := map[[2]string]int{}
	for i, route := range routes {
		last[[2]string{strings.ToLower(route.Host), route.Prefix}] = i
	}
	shadowed := map[int]int{}
	for i, route := range routes {
		if by := last[[2]string{strings.ToLower(route.Host), route.Prefix}]; by != i {
			shadowed[i] = by
		}
	}
	return shadowed
}

// checkServed adds findings if the route leads to no service or not to all of those that it names.
func (r *reviewer) checkServed(i int, route *Route, declared map[string]bool) {
	shares, weighed := route.shares(), false
	if len(shares) == 0 {
		r.addRoute(i, Finding{Code: NoService, Field: FieldService})
		return
	}
	if route.Service != "" && len(route.Shares) > 0 {
		r.addRoute(i, Finding{Code: ServiceIgnored, Field: FieldService, Value: route.Service, OtherField: FieldShares})
	}
	for _, share := range shares {
		weighed = weighed || share.Weight > 0
		if !declared[share.Service] {
			r.addRoute(i, Finding{Code: UnknownService, Field: FieldService, Value: share.Service})
		}
		if share.Weight == 0 {
			r.addRoute(i, Finding{Code: ZeroWeight, Field: FieldShares, Other: share.Service})
		} else if share.Weight < 0 {
			r.addRoute(i, Finding{Code: Negative, Field: FieldShares, Value: sharesText([]Share{share})})
		}
	}
	if !weighed {
		r.addRoute(i, Finding{Code: NoWeight, Field: FieldShares})
	}
}

// checkKind adds findings for values that do not fit the kind of the route.
func (r *reviewer) checkKind(i int, route *Route) {
	if route.Kind == 0 {
		r.addRoute(i, Finding{Code: UnknownKind, Field: FieldKind})
	}
	if route.StickyOdd {
		r.addRoute(i, Finding{Code: StickyNotBoolean, Field: FieldSticky})
	}
	if route.Resumable && route.Kind != core.RouteStream {
		r.addRoute(i, Finding{Code: ResumableNotStream, Field: FieldResumable, OtherField: FieldKind, Other: route.Kind.String()})
	}
	if route.MaxAttempts > 1 && !route.repeatable() {
		r.addRoute(i, Finding{Code: RepeatNotAllowed, Field: FieldMaxAttempts, Value: strconv.Itoa(route.MaxAttempts),
			OtherField: FieldKind, Other: route.Kind.String()})
	}
}

// checkGoals adds findings for goals that cannot be reached within the timeout.
func (r *reviewer) checkGoals(i int, route *Route) {
	if route.Timeout == 0 {
		r.addRoute(i, Finding{Code: TimeoutZero, Field: FieldTimeout})
		return
	}
	r.checkGoal(i, route, FieldAnswerGoal, route.AnswerGoal)
	r.checkGoal(i, route, FieldGapGoal, route.GapGoal)
}

func (r *reviewer) checkGoal(i int, route *Route, field Field, goal time.Duration) {
	if route.Timeout > 0 && goal > route.Timeout {
		r.addRoute(i, Finding{Code: GoalAboveTimeout, Field: field, Value: goal.String(),
			OtherField: FieldTimeout, Other: route.Timeout.String()})
	}
}
