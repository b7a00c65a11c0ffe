package warmup

// Limit is the number of streams that one incarnation of a target may run at once. The
// zero value allows none.
type Limit struct {
	cold    int
	warm    int
	current int
	frozen  bool
}

// New returns the limit of an incarnation that has just started.
func New(cold, warm int) Limit {
	l := Limit{}
	l.SetBounds(cold, warm)
	l.ResetToCold()
	return l
}

// Streams returns the number of streams that may run now.
func (l *Limit) Streams() int { return l.current }

// Warm reports whether the limit is above the cold floor.
func (l *Limit) Warm() bool { return l.current > l.cold }

// SetBounds replaces the declared bounds, and lowers the limit to the warm bound if it
// exceeds it.
func (l *Limit) SetBounds(cold, warm int) {
	l.cold = max(cold, 0)
	l.warm = max(warm, l.cold)
	l.current = min(l.current, l.warm)
}

// SetFrozen stops or allows growth. A frozen limit can still be lowered.
func (l *Limit) SetFrozen(frozen bool) { l.frozen = frozen }

// Grow raises the limit by one stream. It is called when a stream has completed within
// the bounds of the target's kind; running is the number of streams that ran at that time.
// A target that runs less than half of its limit gives no evidence that it can run more,
// so its limit stays.
func (l *Limit) Grow(running int) {
	if l.frozen || 2*running < l.current {
		return
	}
	l.current = min(l.current+1, l.warm)
}

// Restore sets the limit that the same incarnation had reached under a former owner, within
// the declared bounds.
func (l *Limit) Restore(streams int) {
	if !l.frozen {
		l.current = min(max(streams, l.cold), l.warm)
	}
}

// ResetToCold lowers the limit to the cold floor.
func (l *Limit) ResetToCold() { l.current = l.cold }
