// Command load generates the load of callers on hosts, or directly on engines, and
// writes the latencies and outcomes that the callers see as text, JSON and a plot.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/load/loadgen"
)

func main() {
	out := ""
	options, err := parse(&out)
	if err == nil {
		err = run(options, out)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// parse reads the options and the output directory from the command line.
func parse(out *string) (loadgen.Options, error) {
	options := loadgen.Options{DrainTimeout: time.Minute, MaxTokens: 2048, PromptBytes: 600, Seed: 1}
	model := "manus-llm"
	maxTokens := int64(options.MaxTokens)
	var callers []string
	flaggy.SetName("load")
	flaggy.SetDescription("drives callers and measures stall time, token gaps, first tokens and refusals")
	flaggy.StringSlice(&options.Addresses, "u", "url", "IP and port of an entry host, or of an engine with --direct; repeatable")
	flaggy.Bool(&options.Direct, "", "direct", "talk to engines and check sequence numbers")
	flaggy.StringSlice(&options.Engines, "", "engine", "engine whose preemptions are counted; repeatable")
	flaggy.StringSlice(&callers, "", "caller", "team:key:class:weight; repeatable")
	flaggy.String(&model, "m", "model", "model that is asked for")
	flaggy.String(&options.CheckVersion, "", "check-version", "check every token against this version of the stand-ins' model")
	flaggy.Float64(&options.Rate, "r", "rate", "open loop: requests a second")
	flaggy.Int(&options.Concurrency, "", "concurrency", "closed loop: requests at once")
	flaggy.Duration(&options.Duration, "d", "duration", "no request begins later")
	flaggy.Int(&options.Count, "n", "count", "requests in all")
	flaggy.Duration(&options.DrainTimeout, "", "drain", "time for running requests to end")
	flaggy.Int64(&maxTokens, "", "max-tokens", "bound of each answer")
	flaggy.Int(&options.AnswerLength, "", "length", "length of each answer, instead of long-tailed lengths")
	flaggy.Int(&options.PromptBytes, "", "prompt-bytes", "median length of prompts")
	flaggy.Int(&options.MaxResumes, "", "resumes", "how often a broken stream is resumed at another address")
	flaggy.UInt64(&options.Seed, "", "seed", "seed of the load")
	flaggy.String(out, "o", "out", "directory for report.txt, report.json and report.svg")
	flaggy.Parse()
	options.Model = core.ModelID(model)
	options.MaxTokens = core.Tokens(maxTokens)
	if options.Direct && len(callers) == 0 {
		callers = []string{"direct::interactive:1"}
	}
	for _, text := range callers {
		caller, err := loadgen.ParseCaller(text)
		if err != nil {
			return options, err
		}
		options.Callers = append(options.Callers, caller)
	}
	return options, nil
}

// run generates the load, prints the report and saves it if an output directory is given.
func run(options loadgen.Options, out string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := loadgen.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if out == "" {
		return nil
	}
	return report.Save(out)
}
