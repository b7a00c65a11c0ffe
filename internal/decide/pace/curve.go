package pace

// Curve is the time between two events as a function of the load, in milliseconds. The zero Curve is not known.
type Curve struct {
	Base       float64
	PerRequest float64
	PerPrompt  float64 // for each promptScale of pending prompt tokens
}

// promptScale is the number of prompt tokens that counts as one in a Curve; prompts of streams have about as many.
const promptScale = 3000

// At returns the time between two events under a load.
func (c Curve) At(load Load) float64 {
	return c.Base + c.PerRequest*float64(load.Requests) + c.PerPrompt*float64(load.PendingPrefill)/promptScale
}

// Known reports whether the curve has been learned.
func (c Curve) Known() bool { return c.Base > 0 }
