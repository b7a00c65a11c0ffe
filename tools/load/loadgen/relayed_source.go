package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxLineBytes bounds one line of an answer.
	maxLineBytes = 64 << 10
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 64 << 10
)

// relayedSource reads an answer from entry hosts. A stream that breaks is resumed at the
// next address.
type relayedSource struct {
	ctx       context.Context
	client    *http.Client
	addresses []string // first is where to go next
	body      []byte
	caller    Caller
	resumes   int // left
	response  *http.Response
	lines     *bufio.Reader
	eventID   string // of the last token
	resumed   int
}

// openRelayed sends a request to the first address.
func openRelayed(ctx context.Context, client *http.Client, addresses []string, options Options, r request) (*relayedSource, error) {
	body, err := json.Marshal(completionBody{
		Model:     options.Model,
		Prompt:    r.prompt,
		MaxTokens: options.MaxTokens,
		Seed:      r.seed,
		Stream:    true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	s := &relayedSource{ctx: ctx, client: client, addresses: addresses, body: body, caller: r.caller, resumes: options.MaxResumes}
	return s, s.connect()
}

// connect sends the request, from the last event on if there is one.
func (s *relayedSource) connect() error {
	address := s.addresses[0]
	s.addresses = append(s.addresses[1:], address)
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(s.body))
	if err != nil {
		return &brokenError{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+s.caller.Key)
	request.Header.Set("Request-Class", string(s.caller.Class))
	if s.eventID != "" {
		request.Header.Set("Last-Event-ID", s.eventID)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return &brokenError{err: err}
	}
	if response.StatusCode != http.StatusOK {
		return refusalOf(response)
	}
	s.response = response
	s.lines = bufio.NewReaderSize(response.Body, maxLineBytes)
	return nil
}

// refusalOf reads a refusal that came instead of a stream.
func refusalOf(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	_ = response.Body.Close() // all that is of use has been read
	var body chunkBody
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Error == nil {
		return &refusedError{kind: fmt.Sprintf("status_%d", response.StatusCode), run: string(core.RunUnknown)}
	}
	return &refusedError{kind: body.Error.Type, run: body.Error.Run}
}

func (s *relayedSource) next() (token, error) {
	for {
		got, err := s.nextEvent()
		var broken *brokenError
		if !errors.As(err, &broken) || s.eventID == "" {
			return got, err
		}
		if err := s.resume(err); err != nil {
			return token{}, err
		}
	}
}

// resume goes on at other addresses after a stream broke for the given cause.
func (s *relayedSource) resume(cause error) error {
	for s.resumes > 0 && s.ctx.Err() == nil {
		s.resumes--
		s.close()
		cause = s.connect()
		var broken *brokenError
		if errors.As(cause, &broken) {
			continue
		}
		if cause == nil {
			s.resumed++
		}
		return cause
	}
	return cause
}

// nextEvent reads lines up to the end of an event that carries a token or ends the answer.
func (s *relayedSource) nextEvent() (token, error) {
	var eventID string
	for {
		line, err := s.lines.ReadSlice('\n')
		if err != nil {
			return token{}, &brokenError{err: err}
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			eventID = string(value)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		got, err := readData(data)
		if err == nil {
			s.eventID = eventID
		}
		return got, err
	}
}

// readData reads the data of an event.
func readData(data []byte) (token, error) {
	if string(data) == "[DONE]" {
		return token{}, io.EOF
	}
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return token{}, &brokenError{err: err}
	}
	if chunk.Error != nil {
		return token{}, &refusedError{kind: chunk.Error.Type, run: chunk.Error.Run}
	}
	if len(chunk.Choices) != 1 {
		return token{}, &brokenError{err: io.ErrUnexpectedEOF}
	}
	got := token{text: chunk.Choices[0].Text}
	if reason := chunk.Choices[0].FinishReason; reason != nil {
		got.reason = *reason
	}
	return got, nil
}

func (s *relayedSource) close() {
	if s.response != nil {
		_ = s.response.Body.Close() // the answer has been judged already
	}
}
