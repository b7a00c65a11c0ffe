package engineserver

import (
	"net/http"
	"strconv"
)

// lateFrames is the distance, in frames, of a late copy from the current frame.
const lateFrames = 3

// frameWriter writes the frames of one stream to one reader.
type frameWriter struct {
	response   http.ResponseWriter
	id         string
	source     tokenSource
	lastSent   int    // number of the last frame written
	buffer     []byte // reused for each write
	secondHalf []byte // second half of a frame whose first half was sent
}

func newFrameWriter(w http.ResponseWriter, s *stream, after int) *frameWriter {
	return &frameWriter{response: w, id: s.id, source: s.source, lastSent: after}
}

// write writes the frames up to the update's last token, with the update's faults.
func (f *frameWriter) write(u update) {
	f.buffer = f.buffer[:0]
	if u.crossed != nil {
		f.append(u.crossed.id, u.crossed.source, u.crossed.produced, "")
	}
	first := f.lastSent + 1
	for ; f.lastSent < u.produced; f.lastSent++ {
		if u.gap && f.lastSent+1 == first {
			continue
		}
		f.append(f.id, f.source, f.lastSent+1, f.finishReason(u, f.lastSent+1))
	}
	if u.duplicate {
		f.append(f.id, f.source, f.lastSent, f.finishReason(u, f.lastSent))
	}
	if u.late && f.lastSent > lateFrames {
		f.append(f.id, f.source, f.lastSent-lateFrames, "")
	}
	_, _ = f.response.Write(f.buffer) // the client may have disconnected
}

// finishReason returns the finish reason of the frame with the given number.
func (f *frameWriter) finishReason(u update, number int) string {
	if u.ended && number == u.produced {
		return u.finishReason
	}
	return ""
}

// writeFirstHalf writes all frames of the update but the last, and the first half of the
// last one. It buffers the second half.
func (f *frameWriter) writeFirstHalf(u update) {
	f.write(update{produced: u.produced - 1})
	if f.lastSent >= u.produced {
		return
	}
	f.buffer = f.buffer[:0]
	f.append(f.id, f.source, f.lastSent+1, f.finishReason(u, f.lastSent+1))
	f.lastSent++
	middle := len(f.buffer) / 2
	f.secondHalf = append(f.secondHalf[:0], f.buffer[middle:]...)
	_, _ = f.response.Write(f.buffer[:middle]) // the client may have disconnected
	f.flush()
}

// writeSecondHalf writes the rest of a frame that writeFirstHalf started.
func (f *frameWriter) writeSecondHalf() {
	_, _ = f.response.Write(f.secondHalf) // the client may have disconnected
	f.secondHalf = f.secondHalf[:0]
}

// writeDone writes the marker for the end of the stream.
func (f *frameWriter) writeDone() {
	_, _ = f.response.Write([]byte("data: [DONE]\n\n")) // the client may have disconnected
}

// flush sends the written frames to the client.
func (f *frameWriter) flush() {
	_ = http.NewResponseController(f.response).Flush() // the client may have disconnected
}

// append adds one frame to the buffer.
func (f *frameWriter) append(id string, source tokenSource, number int, reason string) {
	b := append(f.buffer, "id: "...)
	b = strconv.AppendInt(b, int64(number), 10)
	b = append(b, "\ndata: {\"id\":\""...)
	b = append(b, id...)
	b = append(b, `","choices":[{"index":0,"text":`...)
	b = append(b, source.token(number)...)
	b = append(b, `,"finish_reason":`...)
	if reason == "" {
		b = append(b, "null"...)
	} else {
		b = strconv.AppendQuote(b, reason)
	}
	b = append(b, `}],"sequence":`...)
	b = strconv.AppendInt(b, int64(number), 10)
	f.buffer = append(b, "}\n\n"...)
}
