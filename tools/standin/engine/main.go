// Command engine runs the stand-in for a model engine.
package main

import (
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/process"
)

func main() {
	listen := "127.0.0.1:7100"
	options := engineserver.Defaults()
	flaggy.SetName("engine")
	flaggy.SetDescription("stand-in for a model engine that batches continuously")
	flaggy.String(&listen, "l", "listen", "loopback IP and port to listen at")
	flaggy.String(&options.Name, "n", "name", "beginning of each incarnation; an identifier of the process follows")
	flaggy.String(&options.Model, "m", "model", "model that is loaded at the start")
	flaggy.String(&options.Version, "v", "model-version", "version of that model")
	flaggy.Duration(&options.StepBase, "", "step-base", "one decoding step without streams")
	flaggy.Duration(&options.StepPerStream, "", "step-per-stream", "added to a step for each running stream")
	flaggy.Duration(&options.PrefillPerToken, "", "prefill-per-token", "added to a step for each prompt token")
	flaggy.Int(&options.PrefillChunk, "", "prefill-chunk", "prompt tokens computed in one step")
	flaggy.Int(&options.MemoryTokens, "", "memory", "memory in tokens")
	flaggy.Int(&options.ColdStreams, "", "cold-streams", "streams that a cold engine bears")
	flaggy.Int(&options.WarmStreams, "", "warm-streams", "streams that run at once")
	flaggy.Int(&options.ColdFactor, "", "cold-factor", "by which steps of an overloaded cold engine are longer")
	flaggy.Duration(&options.ColdCrash, "", "cold-crash", "an engine overloaded for as long crashes")
	flaggy.Duration(&options.WarmAfter, "", "warm-after", "decoding time after which an engine is warm")
	flaggy.Duration(&options.LoadTime, "", "load-time", "time to load a model version")
	flaggy.Duration(&options.LoadLag, "", "load-lag", "load reports are one to two lags old")
	flaggy.Duration(&options.CacheLag, "", "cache-lag", "cache events are published as late")
	flaggy.Int(&options.CacheGapEvery, "", "cache-gap-every", "each n-th cache event is lost")
	flaggy.Bool(&options.ChecksFences, "", "checks-fences", "refuse orders with an old fence")
	flaggy.Parse()
	options.Name += "-" + uuid.NewString()
	server := engineserver.New(options)
	err := process.Serve(listen, server, server.Exited())
	server.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "engine:", err)
		os.Exit(1)
	}
}
