package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// caller streams one answer. Its hook is called after each token.
type caller struct {
	prompt    string
	seed      int
	maxTokens int
	hook      func(tokens int)
}

// stream sends the request to a host, or resumes it after an event id, and reads on into
// the answer until the stream ends in any way.
func (c caller) stream(address, after string, into *answer) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"seed":%d,"stream":true}`, cluster.Model, c.prompt, c.maxTokens, c.seed)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+cluster.TeamKey)
	request.Header.Set("Content-Type", "application/json")
	if after != "" {
		request.Header.Set("Last-Event-ID", after)
	}
	if into.began.IsZero() {
		into.began = time.Now()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &cluster.StepError{Step: "stream", Reason: response.Status}
	}
	c.read(bufio.NewScanner(response.Body), into)
	return nil
}

// read takes in events until the stream ends.
func (c caller) read(lines *bufio.Scanner, into *answer) {
	id := ""
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			into.done = true
			return
		}
		c.take(id, data, into)
	}
}

// take adds one data event.
func (c caller) take(id, data string, into *answer) {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		into.failed = data
		return
	}
	into.tokens = append(into.tokens, token{id: id, text: event.Choices[0].Text, at: time.Now()})
	if c.hook != nil {
		c.hook(len(into.tokens))
	}
}
