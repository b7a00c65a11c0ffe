package configreview

import (
	"fmt"
	"strconv"
	"strings"
)

func (r *Route) attributes() []attribute {
	return []attribute{
		textOf(FieldHost, r.Host),
		textOf(FieldPrefix, r.Prefix),
		textOf(FieldKind, r.Kind.String()),
		durationOf(FieldTimeout, r.Timeout),
		durationOf(FieldAnswerGoal, r.AnswerGoal),
		durationOf(FieldGapGoal, r.GapGoal),
		countOf(FieldPriority, r.Priority),
		textOf(FieldService, r.Service),
		textOf(FieldShares, sharesText(r.Shares)),
		countOf(FieldMaxAttempts, r.MaxAttempts),
		flagOf(FieldPublic, r.Public),
		flagOf(FieldResumable, r.Resumable),
		flagOf(FieldSticky, r.Sticky),
	}
}

func sharesText(shares []Share) string {
	texts := []string{}
	for _, share := range shares {
		texts = append(texts, fmt.Sprintf("%s:%d", share.Service, share.Weight))
	}
	return strings.Join(texts, ", ")
}

func (s *Service) attributes() []attribute {
	attributes := []attribute{
		textOf(FieldHealthPath, s.HealthPath),
		countOf(FieldMaxConnections, s.MaxConnections),
		durationOf(FieldColdPeriod, s.ColdPeriod),
		countOf(FieldColdRate, s.ColdRate),
		flagOf(FieldEngine, s.Engine != nil),
	}
	engine := s.Engine
	if engine == nil {
		engine = &Engine{}
	}
	return append(attributes,
		countOf(FieldSlots, engine.Slots),
		countOf(FieldMemoryTokens, engine.MemoryTokens),
		flagOf(FieldCopies, engine.Copies),
		flagOf(FieldMoves, engine.Moves),
		countOf(FieldEventTokens, engine.EventTokens),
		durationOf(FieldCopyTTL, engine.CopyTTL),
	)
}

// attributes leaves out the keys, which are secret.
func (t *Tenant) attributes() []attribute {
	if t.Priority == nil {
		return []attribute{textOf(FieldPriority, "")}
	}
	return []attribute{{field: FieldPriority, value: strconv.Itoa(*t.Priority), negative: *t.Priority < 0}}
}

func (l *Limits) attributes() []attribute {
	return []attribute{
		countOf(FieldHeaderBytes, l.HeaderBytes),
		countOf(FieldBodyBytes, l.BodyBytes),
		durationOf(FieldHeaderTimeout, l.HeaderTimeout),
		durationOf(FieldIdleTimeout, l.IdleTimeout),
	}
}
