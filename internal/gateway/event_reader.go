package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream, and thereby the memory for reading it.
const maxEventBytes = 1 << 20

// eventReader splits a stream into complete events.
type eventReader struct {
	lines *bufio.Reader
	share bufferShare // of the event that is being read
}

func newEventReader(body io.Reader, budget *bufferBudget) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, readBufferBytes), share: newBufferShare(budget)}
}

// close releases the memory of the last event.
func (r *eventReader) close() { r.share.release() }

// next returns the next complete event. At the end of the stream it returns io.EOF
// together with any bytes after the last complete event. An event that a read error cuts
// off is not returned. An event that is too large, or for which the budget has no room, is a
// *TooLargeError.
func (r *eventReader) next() (streamEvent, error) {
	r.share.release()
	event := streamEvent{isComment: true}
	for {
		line, err := r.lines.ReadSlice('\n')
		if len(event.bytes)+len(line) > maxEventBytes {
			return streamEvent{}, &TooLargeError{Part: "event", Limit: maxEventBytes}
		}
		if err := r.share.grow(int64(len(line))); err != nil {
			return streamEvent{}, err
		}
		room, holdErr := r.makeRoom(event.bytes, len(line))
		if holdErr != nil {
			return streamEvent{}, holdErr
		}
		event.bytes = room
		event.bytes = append(event.bytes, line...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF {
			return event, io.EOF
		}
		if err != nil {
			return streamEvent{}, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return event, nil
		}
		event.isComment = event.isComment && trimmed[0] == ':'
		event.hasData = event.hasData || bytes.HasPrefix(trimmed, []byte("data"))
		if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			event.id, event.hasID = id, err == nil
		}
	}
}

// makeRoom returns an event with room for n more bytes. The memory for the buffer of a large event, and for the one that
// it replaces, is taken before it is allocated.
func (r *eventReader) makeRoom(event []byte, n int) ([]byte, error) {
	need := len(event) + n
	if need <= cap(event) || need <= memoryStep {
		return event, nil
	}
	size := min(2*need, maxEventBytes)
	if err := r.share.hold(int64(size + cap(event))); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), event...), nil
}
