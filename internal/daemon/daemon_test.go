package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// request builds a streaming completion.
func request(t *testing.T, h *runningHost, prompt, lastEvent string) *http.Request {
	t.Helper()
	body := fmt.Sprintf(`{"model":"manus-llm","prompt":%q,"max_tokens":500,"seed":1,"stream":true}`, prompt)
	r, err := http.NewRequest(http.MethodPost, "http://"+h.settings.Listen.Callers+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+teamKey)
	if lastEvent != "" {
		r.Header.Set("Last-Event-ID", lastEvent)
	}
	return r
}

func TestWholePath(t *testing.T) {
	atStart := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, atStart) })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d := newDeployment(t, 2)

	t.Run("a stream resumes at another host", func(t *testing.T) {
		const prompt = "Draft a spot. [[length=80]]"
		response, err := client.Do(request(t, d.hosts[0], prompt, ""))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		first, last, _ := newEvents(response.Body).read(25)
		response.Body.Close()
		response, err = client.Do(request(t, d.hosts[1], prompt, last))
		require.NoError(t, err)
		defer response.Body.Close()
		rest, _, done := newEvents(response.Body).read(0)
		require.True(t, done)
		response, err = client.Do(request(t, d.hosts[1], prompt, ""))
		require.NoError(t, err)
		defer response.Body.Close()
		complete, _, _ := newEvents(response.Body).read(0)
		require.Equal(t, complete, append(first, rest...))
	})

	t.Run("a booking runs once", func(t *testing.T) {
		for i := range 4 {
			host := d.hosts[i%2]
			d.eventually("booking answered", func() bool {
				r, err := http.NewRequest(http.MethodPost, "http://"+host.settings.Listen.Callers+"/services/booking-app/bookings", strings.NewReader("{}"))
				require.NoError(t, err)
				r.Header.Set("Authorization", "Bearer "+teamKey)
				r.Header.Set("Idempotency-Key", "booking-1")
				response, err := client.Do(r)
				if err != nil {
					t.Log(err)
					return false
				}
				response.Body.Close()
				return response.StatusCode == http.StatusOK
			})
		}
		response, err := client.Get(d.services[0].URL + "/stand-in/runs")
		require.NoError(t, err)
		defer response.Body.Close()
		runs, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Contains(t, string(runs), `"total":1`)
	})

	t.Run("a planned stop cuts off no stream", func(t *testing.T) {
		response, err := client.Do(request(t, d.hosts[0], "Another. [[length=150]]", ""))
		require.NoError(t, err)
		defer response.Body.Close()
		events := newEvents(response.Body)
		first, _, _ := events.read(1)
		d.hosts[0].stop()
		rest, _, done := events.read(0)
		require.True(t, done)
		require.Len(t, append(first, rest...), 150)
		require.NoError(t, <-d.hosts[0].ended)
	})

	require.NoError(t, d.hosts[1].end())
}
