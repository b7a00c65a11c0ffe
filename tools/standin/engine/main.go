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
	flaggy.SetDescription("stand-in for a model engine with continuous batching")
	flaggy.String(&listen, "l", "listen", "loopback IP and port to listen at")
	flaggy.String(&options.Name, "n", "name", "prefix of each incarnation; a UUID of the process follows")
	flaggy.String(&options.Model, "m", "model", "model that is loaded at the start")
	flaggy.String(&options.Version, "v", "model-version", "version of that model")
	flaggy.Duration(&options.StepBase, "", "step-base", "duration of a decoding step without streams")
	flaggy.Duration(&options.StepPerStream, "", "step-per-stream", "added to a step for each running stream")
	flaggy.Duration(&options.PrefillPerToken, "", "prefill-per-token", "added to a step for each computed prompt token")
	flaggy.Int(&options.PrefillChunk, "", "prefill-chunk", "prompt tokens computed in one step")
	flaggy.Int(&options.MemoryTokens, "", "memory", "memory in tokens")
	flaggy.Int(&options.ColdStreams, "", "cold-streams", "streams that a cold engine runs without being overloaded")
	flaggy.Int(&options.WarmStreams, "", "warm-streams", "streams that run at once; others wait in the engine")
	flaggy.Int(&options.ColdFactor, "", "cold-factor", "factor on the step time of an overloaded cold engine")
	flaggy.Duration(&options.ColdCrash, "", "cold-crash", "a cold engine crashes after this time of overload")
	flaggy.Duration(&options.WarmAfter, "", "warm-after", "decoding time after which an engine is warm")
	flaggy.Duration(&options.LoadTime, "", "load-time", "time to load a model version")
	flaggy.Duration(&options.LoadLag, "", "load-lag", "load reports are between one and two lags old")
	flaggy.Duration(&options.CacheLag, "", "cache-lag", "delay of the publication of cache events")
	flaggy.Int(&options.CacheGapEvery, "", "cache-gap-every", "every n-th cache event is lost; zero means none")
	flaggy.Bool(&options.ChecksFences, "", "checks-fences", "refuse orders with a fence lower than the last one")
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
