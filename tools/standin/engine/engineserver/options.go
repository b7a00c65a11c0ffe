package engineserver

import (
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

const (
	// resumeWindow is how long a stream runs on without a reader.
	resumeWindow = 10 * time.Second
	// keepEnded is how long an ended stream can still be read.
	keepEnded = 30 * time.Second
	// tickEvery is how often streams without readers and ended streams are looked through.
	tickEvery = 500 * time.Millisecond
)

// Options sets how the stand-in behaves. Zero values mean those of Defaults, except for
// lags, which may be zero.
type Options struct {
	Clock           clockwork.Clock
	Name            string // beginning of each incarnation; empty means a fresh identifier
	Model           string
	Version         string
	StepBase        time.Duration // one decoding step without streams
	StepPerStream   time.Duration // added for each running stream
	PrefillPerToken time.Duration // added for each token of a prompt, or of a preempted stream, that is computed
	PrefillChunk    int           // tokens of prompts computed in one step
	MemoryTokens    int
	ColdStreams     int           // streams that a cold engine bears
	WarmStreams     int           // streams that run at once; others wait in the engine
	ColdFactor      int           // by which the steps of an overloaded cold engine are longer
	ColdCrash       time.Duration // an engine overloaded for as long crashes
	WarmAfter       time.Duration // decoding time after which an engine is warm
	LoadTime        time.Duration // time to load a model version or an adapter
	LoadLag         time.Duration // load reports are one to two lags old
	CacheLag        time.Duration // cache events are published as late
	CacheEntries    int           // prefixes that the cache holds
	CacheGapEvery   int           // each n-th cache event is lost; zero means none
	ChecksFences    bool
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

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	d := Defaults()
	if o.Clock == nil {
		o.Clock = d.Clock
	}
	fill(&o.Name, uuid.NewString())
	fill(&o.Model, d.Model)
	fill(&o.Version, d.Version)
	fill(&o.StepBase, d.StepBase)
	fill(&o.StepPerStream, d.StepPerStream)
	fill(&o.PrefillPerToken, d.PrefillPerToken)
	fill(&o.PrefillChunk, d.PrefillChunk)
	fill(&o.MemoryTokens, d.MemoryTokens)
	fill(&o.ColdStreams, d.ColdStreams)
	fill(&o.WarmStreams, d.WarmStreams)
	fill(&o.ColdFactor, d.ColdFactor)
	fill(&o.ColdCrash, d.ColdCrash)
	fill(&o.WarmAfter, d.WarmAfter)
	fill(&o.LoadTime, d.LoadTime)
	fill(&o.CacheEntries, d.CacheEntries)
	return o
}

// fill sets a value that was left out.
func fill[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
