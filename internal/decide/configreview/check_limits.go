package configreview

import "strconv"

func (r *reviewer) checkLimits() {
	limits := &r.document.Limits
	r.checkNegative(SectionLimits, "", 0, limits.attributes())
	for _, limit := range []struct {
		field Field
		zero  bool
	}{
		{FieldHeaderBytes, limits.HeaderBytes == 0},
		{FieldBodyBytes, limits.BodyBytes == 0},
		{FieldHeaderTimeout, limits.HeaderTimeout == 0},
		{FieldIdleTimeout, limits.IdleTimeout == 0},
	} {
		if limit.zero {
			r.addLimit(Finding{Code: LimitZero, Field: limit.field})
		}
	}
	if limits.BodyBytes > r.bounds.BodyMemory {
		r.addLimit(Finding{Code: BodyAboveHostMemory, Field: FieldBodyBytes,
			Value: strconv.FormatInt(limits.BodyBytes, 10), Other: strconv.FormatInt(r.bounds.BodyMemory, 10)})
	}
}

func (r *reviewer) addLimit(finding Finding) {
	finding.Section = SectionLimits
	r.add(finding)
}
