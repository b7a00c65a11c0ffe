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
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 64 << 10
	// maxRefusalBytes bounds the body of a response with an error status.
	maxRefusalBytes = 64 << 10
)

// relayedSource reads a response from hosts. A stream that breaks is resumed at the
// next address.
type relayedSource struct {
	ctx         context.Context
	client      *http.Client
	addresses   []string // rotated: the first is used for the next connection
	body        []byte
	caller      Caller
	resumesLeft int
	response    *http.Response
	lines       *bufio.Reader
	eventID     string // event ID of the last token
	resumed     int    // successful resumptions
}

// openRelayed sends a request to the first address and returns the source of its response.
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
	s := &relayedSource{ctx: ctx, client: client, addresses: addresses, body: body, caller: r.caller, resumesLeft: options.MaxResumes}
	return s, s.connect()
}

// connect sends the request to the next address. After the first token it resumes the
// stream after the last event.
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
		return readRefusal(response)
	}
	s.response = response
	s.lines = bufio.NewReaderSize(response.Body, maxLineBytes)
	return nil
}

// readRefusal reads a response with an error status and returns it as a *refusedError.
func readRefusal(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	_ = response.Body.Close() // the body has been read as far as it is used
	var body chunkBody
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Error == nil {
		return &refusedError{errorType: fmt.Sprintf("status_%d", response.StatusCode), run: string(core.RunUnknown)}
	}
	return &refusedError{errorType: body.Error.Type, run: body.Error.Run}
}

// next returns the next token. A stream that breaks before its first token is not resumed.
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

// resume reconnects at the next addresses after a stream broke with the given cause, until
// one accepts, one refuses, the context ends or no resumptions are left.
func (s *relayedSource) resume(cause error) error {
	for s.resumesLeft > 0 && s.ctx.Err() == nil {
		s.resumesLeft--
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

// nextEvent reads lines up to the data of the next event: a token, an error or the end of
// the stream. The event ID must precede the data.
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
		got, err := parseEventData(data)
		if err == nil {
			s.eventID = eventID
		}
		return got, err
	}
}

// parseEventData decodes the data of one event. It returns io.EOF for the end marker.
func parseEventData(data []byte) (token, error) {
	if string(data) == "[DONE]" {
		return token{}, io.EOF
	}
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return token{}, &brokenError{err: err}
	}
	if chunk.Error != nil {
		return token{}, &refusedError{errorType: chunk.Error.Type, run: chunk.Error.Run}
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
		_ = s.response.Body.Close() // the outcome of the response is already known
	}
}
