package warmup

// Limit is the number of streams that one incarnation of a target may run. The zero
// value admits nothing.
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

// Warm reports whether evidence has raised the limit above the cold floor.
func (l *Limit) Warm() bool { return l.current > l.cold }

// SetBounds replaces the declared bounds, and lowers the limit where it exceeds them.
func (l *Limit) SetBounds(cold, warm int) {
	l.cold = max(cold, 0)
	l.warm = max(warm, l.cold)
	l.current = min(l.current, l.warm)
}

// SetFrozen stops growth, or allows it again. A frozen limit may still fall.
func (l *Limit) SetFrozen(frozen bool) { l.frozen = frozen }

// Grow raises the limit by one stream after one stream has completed within the bounds
// of its kind while the given number of streams ran. A target that is not half used
// gives no evidence that it bears more.
func (l *Limit) Grow(running int) {
	if l.frozen || 2*running < l.current {
		return
	}
	l.current = min(l.current+1, l.warm)
}

// Restore sets the limit that a former owner of the same incarnation had reached, within
// the declared bounds.
func (l *Limit) Restore(streams int) {
	if !l.frozen {
		l.current = min(max(streams, l.cold), l.warm)
	}
}

// ResetToCold lowers the limit to the cold floor.
func (l *Limit) ResetToCold() { l.current = l.cold }
