package gateway

import (
	"io"
	"net/http"

	"siskintide.example/siskintide/internal/callerlimit"
)

// maxResponseBytes bounds a response that is buffered before it is sent to the caller, and
// thereby the memory for it. Responses of plain services have a few kilobytes.
const maxResponseBytes = 8 << 20

// firstResponseBytes is the size of the first buffer for a response without a length.
const firstResponseBytes = 4 << 10

// probeBytes is the size of the reads that look for the end of a response that fills its buffer.
const probeBytes = 64

// bufferedResponse is a target's response that has been read completely.
type bufferedResponse struct {
	ResponseInfo
	status int
	header http.Header
	body   []byte
	share  bufferShare        // of the body
	memory *callerlimit.Share // of the header; nil if the response was not read
}

// release returns the memory of the response. It is called once the response has been sent to the caller.
func (r *bufferedResponse) release() {
	if r.memory == nil {
		return
	}
	r.share.release()
	r.memory.Release()
}

// failed reports whether the target responded with a server error.
func (r *bufferedResponse) failed() bool { return r.status >= http.StatusInternalServerError }

// readResponse reads the body of an exchange's response. It returns an *ExchangeError if the
// body is cut off, or if it exceeds the budget of all responses, and a *TooLargeError if it exceeds its limit. A response
// whose head states that the request was not run is returned without a body in place of these errors.
func (x *exchange) readResponse(info ResponseInfo, budget *bufferBudget) (*bufferedResponse, error) {
	response, err := x.readWholeResponse(info, budget)
	if err != nil && info.NotRun {
		return &bufferedResponse{ResponseInfo: info, status: x.response.StatusCode}, nil
	}
	return response, err
}

func (x *exchange) readWholeResponse(info ResponseInfo, budget *bufferBudget) (*bufferedResponse, error) {
	limited := &budgetReader{source: io.LimitReader(x.response.Body, maxResponseBytes+1), share: newBufferShare(budget)}
	body, err := readBuffered(limited, x.response.ContentLength)
	if err != nil {
		limited.share.release()
		return nil, &ExchangeError{Address: x.address, Phase: phaseAnswer, Cause: err}
	}
	if len(body) > maxResponseBytes {
		limited.share.release()
		return nil, &TooLargeError{Part: "answer", Limit: maxResponseBytes}
	}
	return &bufferedResponse{ResponseInfo: info, status: x.response.StatusCode, header: forwardedHeader(x.response.Header), body: body,
		share: limited.share, memory: x.head.takeMemory()}, nil
}

// readBuffered reads a body of the given length, or of any length if that is negative, to its end. The memory for the
// buffer, and for the one that it replaces, is taken before it is allocated.
func readBuffered(source *budgetReader, length int64) ([]byte, error) {
	size := int64(firstResponseBytes)
	if length >= 0 && length <= unbudgetedBytes {
		size = length
	}
	if err := source.share.hold(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	var rest [probeBytes]byte // shows whether a full buffer has to grow
	for {
		if len(body) < cap(body) {
			n, err := source.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
			continue
		}
		n, err := source.Read(rest[:])
		if n > 0 {
			size = int64(max(2*cap(body), probeBytes))
			if err := source.share.hold(size + int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(append(make([]byte, 0, size), body...), rest[:n]...)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
