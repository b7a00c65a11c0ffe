package ratelimit

// Rate is the rate of a target's permits.
type Rate struct {
	Total float64 // permits per second of all issuers together
	Share float64 // of this issuer, between 0 and 1
}

// own returns the permits per second of this issuer.
func (r Rate) own() float64 { return r.Total * r.Share }
