package loadgen

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testCallers = []Caller{{Team: "studio", Key: "k1", Class: "interactive", Weight: 3}, {Team: "branch", Key: "k2", Class: "batch", Weight: 1}}

// startEngine starts a stand-in engine with short steps and returns options that send 12
// requests directly to it.
func startEngine(t *testing.T) (*engineserver.Server, Options) {
	t.Helper()
	standIn := engineserver.New(engineserver.Options{
		Model: "m", Version: "v1", StepBase: 100 * time.Microsecond, StepPerStream: time.Microsecond,
		PrefillPerToken: time.Nanosecond, ColdStreams: 64,
	})
	server := httptest.NewServer(standIn)
	t.Cleanup(func() {
		standIn.Close()
		server.Close()
	})
	address := server.Listener.Addr().String()
	return standIn, Options{
		Addresses: []string{address}, Engines: []string{address}, Direct: true, Callers: testCallers,
		Model: "m", CheckVersion: "v1", Concurrency: 4, Count: 12, DrainTimeout: time.Minute, AnswerLength: 30, Seed: 5,
	}
}

func TestDirectRun(t *testing.T) {
	_, options := startEngine(t)
	report, err := Run(t.Context(), options)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"completed": 12}, report.Total.Outcomes, "%v", report.Failures)
	require.Equal(t, 12*30, report.Total.CompletedTokens)
	require.Equal(t, int64(12*29), report.Total.TokenGap.Count)
	require.Equal(t, int64(12), report.Total.LargestGap.Count)
	require.Equal(t, 12, report.Teams["studio"].Requests+report.Teams["branch"].Requests)
	require.Equal(t, report.Teams["studio"].Requests, report.Classes["interactive"].Requests)
	require.Equal(t, EngineStats{}, *report.Engines)
	var text, svg bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "completed 12")
	require.NoError(t, report.WriteSVG(&svg))
	decoder := xml.NewDecoder(&svg)
	for err = nil; err == nil; _, err = decoder.Token() {
	}
	require.Equal(t, io.EOF, err)
}

func TestOpenLoopStopsAtCount(t *testing.T) {
	_, options := startEngine(t)
	options.Concurrency, options.Rate, options.AnswerLength = 0, 10_000, 0
	options.MaxTokens = 10
	report, err := Run(t.Context(), options)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"completed": 12}, report.Total.Outcomes, "%v", report.Failures)
}

func TestFaultyResponsesAreDetected(t *testing.T) {
	cases := map[fault.Kind]string{
		engineserver.FaultDuplicate:        "wrong",
		engineserver.FaultGap:              "wrong",
		engineserver.FaultNondeterministic: "wrong",
		engineserver.FaultCut:              "broken",
		engineserver.FaultOverloaded:       "refused overloaded not_run",
	}
	for kind, outcome := range cases {
		t.Run(string(kind), func(t *testing.T) {
			standIn, options := startEngine(t)
			options.Count, options.Concurrency = 1, 1
			standIn.InjectFault(fault.Spec{Kind: kind, Every: everySecondDelivery(kind)})
			report, err := Run(t.Context(), options)
			require.NoError(t, err)
			require.Equal(t, map[string]int{outcome: 1}, report.Total.Outcomes, "%v", report.Failures)
		})
	}
}

func TestRequestCancelledByDrainTimeoutIsUnfinished(t *testing.T) {
	_, options := startEngine(t)
	options.Count, options.AnswerLength, options.DrainTimeout, options.CheckVersion = 1, 999_999, time.Nanosecond, ""
	report, err := Run(t.Context(), options)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"unfinished": 1}, report.Total.Outcomes, "%v", report.Failures)
}

func TestEngineMonitorCountsRestartsAndPreemptions(t *testing.T) {
	standIn, options := startEngine(t)
	monitor := newEngineMonitor(newDriver(options).engines, options.Engines)
	monitor.poll()
	monitor.started = true
	standIn.InjectFault(fault.Spec{Kind: engineserver.FaultKill})
	monitor.poll()
	monitor.poll()
	require.Equal(t, 1, monitor.restarts)
	monitor.lastPreemptions["e-1"], monitor.firstPreemptions["e-1"], monitor.lastPreemptions["e-2"] = 7, 5, 3
	require.Equal(t, uint64(2+3), monitor.preemptions())
}

// everySecondDelivery returns the value of Every that lets a cut spare the first token. A
// stream that is cut before it would count as unanswered, not as broken.
func everySecondDelivery(kind fault.Kind) int {
	if kind == engineserver.FaultCut {
		return 2
	}
	return 0
}

// fakeHost starts a server that streams four tokens as a host does, continuing after the
// Last-Event-ID it receives, but aborts the connection after token number breakAfter. It
// appends the key, class and body of each request to requests.
func fakeHost(t *testing.T, breakAfter int, requests *[]string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*requests = append(*requests, r.Header.Get("Authorization")+" "+r.Header.Get("Request-Class")+" "+string(body))
		after := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last-Event-ID"), "event-%d", &after)
		for n := after + 1; n <= 4; n++ {
			if n > breakAfter {
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			reason := "null"
			if n == 4 {
				reason = `"stop"`
			}
			_, _ = fmt.Fprintf(w, "id: event-%d\ndata: {\"choices\":[{\"text\":\"t%d\",\"finish_reason\":%s}]}\n\n: keep-alive\n\n", n, n, reason)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	return server
}

func TestBrokenStreamIsResumedAtAnotherHost(t *testing.T) {
	for resumes, outcome := range map[int]string{0: "broken", 1: "completed"} {
		var first, second []string
		one, other := fakeHost(t, 2, &first), fakeHost(t, 4, &second)
		options := Options{
			Addresses: []string{one.Listener.Addr().String(), other.Listener.Addr().String()},
			Callers:   testCallers[:1], Concurrency: 1, Count: 1, DrainTimeout: time.Minute, MaxResumes: resumes,
		}
		report, err := Run(t.Context(), options)
		require.NoError(t, err)
		require.Equal(t, map[string]int{outcome: 1}, report.Total.Outcomes, "%v", report.Failures)
		require.Equal(t, resumes, report.Total.Resumed)
		require.True(t, strings.HasPrefix(first[0], "Bearer k1 interactive {"), first[0])
		if resumes > 0 {
			require.Equal(t, 4, report.Total.CompletedTokens)
			require.Equal(t, first, second, "the resumed request differs")
		}
	}
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		status  int
		body    string
		outcome string
	}{
		"typed":       {503, `{"error":{"type":"queue_full","run":"not_run"}}`, "refused queue_full not_run"},
		"untyped":     {502, "bad gateway", "refused status_502 unknown"},
		"in a stream": {200, "id: a\ndata: {\"choices\":[{\"text\":\"t\"}]}\n\nevent: error\ndata: {\"error\":{\"type\":\"target_failed\",\"run\":\"ran\"}}\n\n", "ended early target_failed ran"},
	}
	for name, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		options := Options{Addresses: []string{server.Listener.Addr().String()}, Callers: testCallers, Concurrency: 1, Count: 1, DrainTimeout: time.Minute}
		report, err := Run(t.Context(), options)
		require.NoError(t, err)
		require.Equal(t, map[string]int{c.outcome: 1}, report.Total.Outcomes, name)
		server.Close()
	}
}

func TestReportOfTwoSamples(t *testing.T) {
	ms := time.Millisecond
	r := newRecorder(time.Unix(100, 0))
	r.add(&sample{caller: testCallers[0], started: time.Unix(100, 0), firstToken: 900 * ms, gaps: []time.Duration{50 * ms, 177 * ms, 77 * ms, 1_077 * ms}})
	r.add(&sample{caller: testCallers[1], started: time.Unix(101, 0), err: &refusedError{errorType: "queue_full", run: "not_run"}})
	report := r.report(2 * time.Second)
	require.Equal(t, 5, report.Total.CompletedTokens)
	require.InDelta(t, 2.5, report.Total.CompletedTokensPerS, 1e-9)
	require.InDelta(t, 1.1, report.Total.StalledS, 1e-9)
	require.Equal(t, 2, report.Total.GapsOverBound)
	require.Equal(t, 1, report.Total.LateFirstTokens)
	require.InEpsilon(t, 1_077, report.Total.LargestGap.P99, 0.001)
	require.Equal(t, map[string]int{"completed": 1, "refused queue_full not_run": 1}, report.Total.Outcomes)
	require.Equal(t, 2, len(report.Seconds)-1)
	require.Equal(t, SecondStats{Tokens: 2, WorstGapMS: 50}, report.Seconds[0])
	require.Equal(t, SecondStats{Tokens: 2, WorstGapMS: 177, Failed: 1}, report.Seconds[1])
	require.Equal(t, 1, report.Seconds[2].Completed)
}

func TestWorkloadDependsOnlyOnSeedAndNumber(t *testing.T) {
	options := Options{Callers: testCallers, PromptBytes: 600, Rate: 10, Seed: 3}
	one, again := newWorkload(options), newWorkload(options)
	again.request(99)
	shares := map[string]int{}
	for number := range 1_000 {
		require.Equal(t, one.request(number), again.request(number))
		require.Equal(t, one.interarrival(number), again.interarrival(number))
		shares[string(one.request(number).caller.Team)]++
	}
	require.Greater(t, shares["studio"], 2*shares["branch"])
	options.Seed = 4
	require.NotEqual(t, one.request(1), newWorkload(options).request(1))
}

func TestInvalidOptions(t *testing.T) {
	good := Options{Addresses: []string{"127.0.0.1:1"}, Callers: testCallers, Rate: 1, Count: 1}
	require.NoError(t, good.check())
	cases := map[string]func(*Options){
		"url":      func(o *Options) { o.Addresses = nil },
		"caller":   func(o *Options) { o.Callers = nil },
		"rate":     func(o *Options) { o.Concurrency = 1 },
		"duration": func(o *Options) { o.Count = 0 },
	}
	for option, invalidate := range cases {
		bad := good
		invalidate(&bad)
		_, err := Run(t.Context(), bad)
		var failure *OptionError
		require.ErrorAs(t, err, &failure)
		require.Equal(t, option, failure.Option)
	}
	for _, text := range []string{"", "a:b:c", "a:b:c:0", "a:b:c:d:e"} {
		_, err := ParseCaller(text)
		require.True(t, errors.As(err, new(*OptionError)), text)
	}
}
