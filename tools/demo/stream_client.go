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

// streamClient requests one generation as a stream. It calls onToken, if set, after each
// token, with the number of tokens so far.
type streamClient struct {
	prompt    string
	seed      int
	maxTokens int
	onToken   func(tokens int)
}

// stream sends the request to a host and appends to the result until the stream ends or the
// connection is lost. With a lastEventID it resumes the stream after that event.
func (c streamClient) stream(address, lastEventID string, result *streamResult) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"seed":%d,"stream":true}`, cluster.Model, c.prompt, c.maxTokens, c.seed)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+cluster.TeamKey)
	request.Header.Set("Content-Type", "application/json")
	if lastEventID != "" {
		request.Header.Set("Last-Event-ID", lastEventID)
	}
	if result.startedAt.IsZero() {
		result.startedAt = time.Now()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &cluster.StepError{Step: "stream", Reason: response.Status}
	}
	c.read(bufio.NewScanner(response.Body), result)
	return nil
}

// read parses events until the stream ends.
func (c streamClient) read(lines *bufio.Scanner, result *streamResult) {
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
			result.done = true
			return
		}
		c.addEvent(id, data, result)
	}
}

// addEvent adds the token of one event. An event that is malformed or has no choices is
// recorded as the failure.
func (c streamClient) addEvent(id, data string, result *streamResult) {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		result.failure = data
		return
	}
	result.tokens = append(result.tokens, token{id: id, text: event.Choices[0].Text, at: time.Now()})
	if c.onToken != nil {
		c.onToken(len(result.tokens))
	}
}
