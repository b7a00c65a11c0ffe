package daemon

import (
	"bufio"
	"io"
	"strings"
)

// events reads the events of one response. The scanner reads ahead, so a response must be
// read by a single events value.
type events struct {
	lines *bufio.Scanner
}

func newEvents(body io.Reader) *events { return &events{lines: bufio.NewScanner(body)} }

// read reads data events up to the limit; zero means all. It returns their texts, the last
// event id and whether the stream ended with the done event.
func (e *events) read(limit int) (texts []string, last string, done bool) {
	for e.lines.Scan() {
		line := e.lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return texts, last, true
		}
		_, text, _ := strings.Cut(data, `"text":`)
		text, _, _ = strings.Cut(text, `,"finish_reason"`)
		texts = append(texts, text)
		if len(texts) == limit {
			return texts, last, false
		}
	}
	return texts, last, false
}
