package engineserver

import (
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

const (
	// resumeWindow is how long a stream continues without a reader.
	resumeWindow = 10 * time.Second
	// endedRetention is how long an ended stream can still be read.
	endedRetention = 30 * time.Second
	// sweepInterval is the time between two sweeps of abandoned and ended streams.
	sweepInterval = 500 * time.Millisecond
)

// Options configures the stand-in. A zero value is replaced by that of Defaults, except for
// Name, which has its own default, and for LoadLag, CacheLag, CacheGapEvery, ChecksFences and OnLoad,
// which may be zero.
type Options struct {
	Clock           clockwork.Clock
	Name            string // prefix of each incarnation; empty means a new UUID
	Model           string
	Version         string
	StepBase        time.Duration // duration of a decoding step without streams
	StepPerStream   time.Duration // added for each running stream
	PrefillPerToken time.Duration // added for each computed token of a prompt or of a preempted stream
	PrefillChunk    int           // prompt tokens computed in one step
	MemoryTokens    int
	ColdStreams     int           // streams that a cold engine runs without being overloaded
	WarmStreams     int           // streams that run at once; others wait in the engine
	ColdFactor      int           // factor on the step time of an overloaded cold engine
	ColdCrash       time.Duration // a cold engine crashes after this time of overload
	WarmAfter       time.Duration // decoding time after which an engine is warm
	LoadTime        time.Duration // time to load a model version or an adapter
	LoadLag         time.Duration // load reports are between one and two lags old
	CacheLag        time.Duration // delay of the publication of cache events
	CacheEntries    int           // prefixes that the cache holds
	CacheGapEvery   int           // every n-th cache event is lost; zero means none
	ChecksFences    bool          // refuse orders with a fence lower than the last one
	// OnLoad is called in the event loop when the load of a model version begins, with its
	// duration; nil for none.
	OnLoad func(version string, began time.Time, duration time.Duration)
}

// Defaults returns the options of a small engine.
func Defaults() Options {
	return Options{
		Clock:           clockwork.NewRealClock(),
		Model:           "manus-llm",
		Version:         "v1",
		StepBase:        20 * time.Millisecond,
		StepPerStream:   300 * time.Microsecond,
		PrefillPerToken: 50 * time.Microsecond,
		PrefillChunk:    256,
		MemoryTokens:    16_384,
		ColdStreams:     4,
		WarmStreams:     64,
		ColdFactor:      5,
		ColdCrash:       3 * time.Second,
		WarmAfter:       5 * time.Second,
		LoadTime:        5 * time.Second,
		CacheEntries:    64,
	}
}

// withDefaults returns the options with unset values replaced.
func (o Options) withDefaults() Options {
	d := Defaults()
	if o.Clock == nil {
		o.Clock = d.Clock
	}
	setDefault(&o.Name, uuid.NewString())
	setDefault(&o.Model, d.Model)
	setDefault(&o.Version, d.Version)
	setDefault(&o.StepBase, d.StepBase)
	setDefault(&o.StepPerStream, d.StepPerStream)
	setDefault(&o.PrefillPerToken, d.PrefillPerToken)
	setDefault(&o.PrefillChunk, d.PrefillChunk)
	setDefault(&o.MemoryTokens, d.MemoryTokens)
	setDefault(&o.ColdStreams, d.ColdStreams)
	setDefault(&o.WarmStreams, d.WarmStreams)
	setDefault(&o.ColdFactor, d.ColdFactor)
	setDefault(&o.ColdCrash, d.ColdCrash)
	setDefault(&o.WarmAfter, d.WarmAfter)
	setDefault(&o.LoadTime, d.LoadTime)
	setDefault(&o.CacheEntries, d.CacheEntries)
	return o
}

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
