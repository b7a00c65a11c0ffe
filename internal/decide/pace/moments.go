package pace

import (
	"math"
	"time"
)

// slopeShrinkage pulls the slopes of a fitted curve towards zero while the loads that were seen hardly differ. It
// is the variance of the load, in requests or prompts, that counts as no difference.
const slopeShrinkage = 0.02

// moments holds decayed weighted sums of the loads x1 (requests), x2 (pending prompts) and of the times y between
// events, from which a Curve is fitted.
type moments struct {
	w, x1, x2, x11, x12, x22, y, x1y, x2y float64
	at                                    time.Duration
}

// decay ages the sums to a time.
func (m *moments) decay(now, halfLife time.Duration) {
	if now <= m.at {
		return
	}
	f := math.Exp2(-float64(now-m.at) / float64(halfLife))
	m.w, m.x1, m.x2, m.y = m.w*f, m.x1*f, m.x2*f, m.y*f
	m.x11, m.x12, m.x22, m.x1y, m.x2y = m.x11*f, m.x12*f, m.x22*f, m.x1y*f, m.x2y*f
	m.at = now
}

// add adds observations with the same load and the mean time y.
func (m *moments) add(weight float64, load Load, y float64) {
	x1, x2 := float64(load.Requests), float64(load.PendingPrefill)/promptScale
	m.w, m.x1, m.x2, m.y = m.w+weight, m.x1+weight*x1, m.x2+weight*x2, m.y+weight*y
	m.x11, m.x12, m.x22 = m.x11+weight*x1*x1, m.x12+weight*x1*x2, m.x22+weight*x2*x2
	m.x1y, m.x2y = m.x1y+weight*x1*y, m.x2y+weight*x2*y
}

// predicted returns the weighted sum of what a curve forecasts for the loads that were seen.
func (m *moments) predicted(c Curve) float64 {
	return m.w*c.Base + m.x1*c.PerRequest + m.x2*c.PerPrompt
}

// factor returns the ratio of the times that were seen to a curve. priorEvents with a given ratio are added.
func (m *moments) factor(c Curve, prior float64) float64 {
	added := priorEvents * c.Base
	return min(max((m.y+prior*added)/(m.predicted(c)+added), minFactor), maxFactor)
}

// fit returns the curve with the least squared error. Slopes are not negative: more load never makes events come
// sooner.
func (m *moments) fit() Curve {
	if m.w <= 0 || m.y <= 0 {
		return Curve{}
	}
	mean1, mean2, meanY := m.x1/m.w, m.x2/m.w, m.y/m.w
	v11 := m.x11/m.w - mean1*mean1 + slopeShrinkage
	v22 := m.x22/m.w - mean2*mean2 + slopeShrinkage
	v12, c1, c2 := m.x12/m.w-mean1*mean2, m.x1y/m.w-mean1*meanY, m.x2y/m.w-mean2*meanY
	var s1, s2 float64
	if det := v11*v22 - v12*v12; det > 0 {
		s1, s2 = (c1*v22-c2*v12)/det, (c2*v11-c1*v12)/det
	}
	if s1 < 0 {
		s1, s2 = 0, c2/v22
	}
	if s2 < 0 {
		s1, s2 = max(c1/v11, 0), 0
	}
	base := meanY - s1*mean1 - s2*mean2
	if base < minBaseShare*meanY { // beyond what was seen, a steep curve would forecast nothing for an idle engine
		scale := (1 - minBaseShare) * meanY / (s1*mean1 + s2*mean2)
		s1, s2, base = s1*scale, s2*scale, minBaseShare*meanY
	}
	return Curve{Base: base, PerRequest: s1, PerPrompt: s2}
}

// minBaseShare is the least share of the mean time between events that an idle engine is taken to need: the fixed
// part of a step is most of it.
const minBaseShare = 0.2
