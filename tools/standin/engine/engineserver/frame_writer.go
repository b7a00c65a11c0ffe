package engineserver

import (
	"net/http"
	"strconv"
)

// lateBy is by how many frames a late copy of a frame comes too late.
const lateBy = 3

// frameWriter writes the frames of one stream to one reader.
type frameWriter struct {
	response http.ResponseWriter
	id       string
	source   source
	sent     int    // number of the last frame written
	buffer   []byte // reused for each write
	rest     []byte // second half of a frame that was begun
}

func newFrameWriter(w http.ResponseWriter, s *stream, after int) *frameWriter {
	return &frameWriter{response: w, id: s.id, source: s.source, sent: after}
}

// write writes the frames up to the one that the update tells of, with its faults.
func (f *frameWriter) write(u update) {
	f.buffer = f.buffer[:0]
	if u.crossed != nil {
		f.append(u.crossed.id, u.crossed.source, u.crossed.produced, "")
	}
	first := f.sent + 1
	for ; f.sent < u.produced; f.sent++ {
		if u.gap && f.sent+1 == first {
			continue
		}
		f.append(f.id, f.source, f.sent+1, f.reason(u, f.sent+1))
	}
	if u.duplicate {
		f.append(f.id, f.source, f.sent, f.reason(u, f.sent))
	}
	if u.late && f.sent > lateBy {
		f.append(f.id, f.source, f.sent-lateBy, "")
	}
	_, _ = f.response.Write(f.buffer) // the reader may have gone
}

// reason returns the finish reason that the frame with the number carries.
func (f *frameWriter) reason(u update, number int) string {
	if u.ended && number == u.produced {
		return u.reason
	}
	return ""
}

// half writes the frames up to the last one, and the first half of that. It keeps the
// other half.
func (f *frameWriter) half(u update) {
	f.write(update{produced: u.produced - 1})
	if f.sent >= u.produced {
		return
	}
	f.buffer = f.buffer[:0]
	f.append(f.id, f.source, f.sent+1, f.reason(u, f.sent+1))
	f.sent++
	middle := len(f.buffer) / 2
	f.rest = append(f.rest[:0], f.buffer[middle:]...)
	_, _ = f.response.Write(f.buffer[:middle]) // the reader may have gone
	f.flush()
}

// otherHalf writes the rest of a frame that half began.
func (f *frameWriter) otherHalf() {
	_, _ = f.response.Write(f.rest) // the reader may have gone
	f.rest = f.rest[:0]
}

// end writes the marker that no frame follows.
func (f *frameWriter) end() {
	_, _ = f.response.Write([]byte("data: [DONE]\n\n")) // the reader may have gone
}

// flush sends what was written.
func (f *frameWriter) flush() {
	_ = http.NewResponseController(f.response).Flush() // the reader may have gone
}

// append adds one frame to the buffer.
func (f *frameWriter) append(id string, from source, number int, reason string) {
	b := append(f.buffer, "id: "...)
	b = strconv.AppendInt(b, int64(number), 10)
	b = append(b, "\ndata: {\"id\":\""...)
	b = append(b, id...)
	b = append(b, `","choices":[{"index":0,"text":`...)
	b = append(b, from.token(number)...)
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
