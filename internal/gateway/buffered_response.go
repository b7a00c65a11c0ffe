package gateway

import (
	"io"
	"net/http"
)

// maxResponseBytes bounds a response that is buffered before it is sent to the caller, and
// thereby the memory for it. Responses of plain services have a few kilobytes.
const maxResponseBytes = 8 << 20

// bufferedResponse is a target's response that has been read completely.
type bufferedResponse struct {
	ResponseInfo
	status int
	header http.Header
	body   []byte
}

// failed reports whether the target responded with a server error.
func (r *bufferedResponse) failed() bool { return r.status >= http.StatusInternalServerError }

// readResponse reads the body of an exchange's response. It returns an *ExchangeError if the
// body is cut off, and a *TooLargeError if it exceeds its limit or the budget of all responses.
func (x *exchange) readResponse(info ResponseInfo, budget *bufferBudget) (*bufferedResponse, error) {
	limited := &budgetReader{source: io.LimitReader(x.response.Body, maxResponseBytes+1), share: bufferShare{budget: budget}}
	defer limited.share.release()
	body, err := io.ReadAll(limited)
	if err != nil {
		return nil, &ExchangeError{Address: x.address, Phase: phaseAnswer, Cause: err}
	}
	if len(body) > maxResponseBytes {
		return nil, &TooLargeError{Part: "answer", Limit: maxResponseBytes}
	}
	return &bufferedResponse{ResponseInfo: info, status: x.response.StatusCode, header: forwardedHeader(x.response.Header), body: body}, nil
}
