package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/callerbudget"
)

const (
	// smallBodyBytes is the size up to which the body of a request needs no reservation.
	smallBodyBytes = 64 << 10
	// firstBodyBytes and bodyGrowth are the size of the first buffer for a body, and the factor by which it grows.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
	// bodyWait and bodyWaitFraction bound the wait of a body for its reservation, absolutely and as a part of
	// the time that the caller waits. After it, callers give a host up that does not read their request.
	bodyWait         = time.Second
	bodyWaitFraction = 1.0 / 3
	// refusedBodyTimeout bounds the time for which the body of a refused request is read and dropped. Without
	// that, the close of the connection could destroy the response before its caller has read it.
	refusedBodyTimeout = time.Second
)

// readBody reads the body of the request, which has at most limit bytes. A large one waits until the memory for
// large bodies has room for it, and its caller is held back as long.
func (h *requestHandler) readBody(limit int64) *core.Refusal {
	if h.r.ContentLength > limit {
		return h.bodyTooLarge(limit)
	}
	if h.r.ContentLength == 0 {
		return nil
	}
	address := callerlimit.Address(h.r.Context())
	reading := h.gateway.options.Memory.StartReading(address, h.abortBody)
	defer reading.End()
	h.memory = h.gateway.options.Memory.Share(callerbudget.Body, address)
	h.largeMemory = h.gateway.options.Memory.Share(callerbudget.LargeBody, address)
	largest := limit + 1 // one more byte shows that a body is too large
	if h.r.ContentLength >= 0 {
		largest = h.r.ContentLength + 1
	}
	var err error
	for err == nil {
		if int64(len(h.body)) > limit {
			return h.bodyTooLarge(limit)
		}
		if len(h.body) == cap(h.body) {
			if refusal := h.growBody(reading, largest); refusal != nil {
				return refusal
			}
		}
		var n int
		n, err = h.r.Body.Read(h.body[len(h.body):cap(h.body)])
		h.body = h.body[:len(h.body)+n]
		reading.Receive(n)
	}
	if reading.End() {
		return notRunRefusal(core.RefusedSlowBody, "the body arrived too slowly while memory was short", retryAtCapacity)
	}
	if err != io.EOF {
		return h.bodyUnreadable(err)
	}
	return nil
}

// abortBody ends the read of the body.
func (h *requestHandler) abortBody() {
	h.setDeadline(http.NewResponseController(h.w).SetReadDeadline, time.Nanosecond)
}

// growBody makes room for more of the body, which has at most largest bytes. What its caller has not sent yet takes
// little memory, so that callers that announce a body and do not send it do not use the memory up.
func (h *requestHandler) growBody(reading *callerlimit.Reading, largest int64) *core.Refusal {
	size := min(max(firstBodyBytes, int64(bodyGrowth*cap(h.body))), largest)
	if size > smallBodyBytes+1 && h.reserved == 0 {
		if int64(cap(h.body)) <= smallBodyBytes {
			size = min(smallBodyBytes+1, largest)
		} else if !h.reserveBody(reading, largest-1) {
			return notRunRefusal(core.RefusedNoCapacity, "the bodies of other requests use up the memory", retryAtCapacity)
		}
	}
	memory := h.memory
	if size > callerbudget.UsualBodyBytes+1 {
		memory = h.largeMemory
	}
	if err := memory.Grow(size - int64(cap(h.body))); err != nil {
		return notRunRefusal(core.RefusedNoCapacity, err.Error(), retryAtCapacity)
	}
	h.body = append(make([]byte, 0, size), h.body...)
	return nil
}

// reserveBody reserves the memory for a large body: what it has announced, or else the most it may have.
func (h *requestHandler) reserveBody(reading *callerlimit.Reading, size int64) bool {
	wait := bodyWait
	if h.request.Timeout > 0 {
		wait = min(wait, time.Duration(bodyWaitFraction*float64(h.request.Timeout)))
	}
	ctx, cancel := context.WithTimeout(h.r.Context(), wait)
	defer cancel()
	detach := context.AfterFunc(h.gateway.options.Stopping, cancel)
	defer detach()
	if h.gateway.bodies.TryAcquire(size) {
		h.reserved = size
		return true
	}
	h.gateway.options.Memory.Relieve()
	reading.Hold()
	defer reading.Resume()
	if err := h.gateway.bodies.Acquire(ctx, size); err != nil {
		h.log.WithError(err).WithField("bytes", size).Info("no memory for the body of a request")
		return false
	}
	h.reserved = size
	return true
}

// releaseMemory returns the memory for the body and for responses.
func (h *requestHandler) releaseMemory() {
	h.releaseResponses()
	h.releaseBody()
}

// releaseResponses returns the memory for responses. None of them is sent to the caller any more.
func (h *requestHandler) releaseResponses() {
	for _, response := range h.responses {
		response.release()
	}
	h.responses = nil
}

// releaseBody drops the body and returns its memory.
func (h *requestHandler) releaseBody() {
	h.body = nil
	if h.memory != nil {
		h.memory.Release()
		h.largeMemory.Release()
	}
	if h.reserved > 0 {
		h.gateway.bodies.Release(h.reserved)
		h.reserved = 0
	}
}

func (h *requestHandler) bodyTooLarge(limit int64) *core.Refusal {
	return notRunRefusal(core.RefusedTooLarge, (&TooLargeError{Part: "body", Limit: limit}).Error(), 0)
}

// bodyUnreadable returns the refusal of a request whose body has ended early, or not before this host stops.
func (h *requestHandler) bodyUnreadable(err error) *core.Refusal {
	if h.gateway.options.Stopping.Err() != nil {
		return leavingRefusal()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRunRefusal(core.RefusedSlowBody, "the body did not arrive in time", 0)
	}
	return notRunRefusal(core.RefusedBadRequest, "the body could not be read", 0)
}

// refuseBody refuses a request whose body has not been read completely. The response is sent at once. What the
// caller still sends is dropped, up to the size that a body may have; the rest of a larger one is not read. The memory of the
// body is returned before.
func (h *requestHandler) refuseBody(control *http.ResponseController, refusal *core.Refusal) {
	h.releaseBody()
	if err := control.EnableFullDuplex(); err != nil {
		h.log.WithError(err).Debug("response cannot be sent before the body has been read")
	}
	h.w.Header().Set("Connection", "close")
	h.refuse(refusal)
	if err := control.Flush(); err != nil {
		return // the caller has left
	}
	h.setDeadline(control.SetReadDeadline, refusedBodyTimeout)
	if _, err := io.CopyN(io.Discard, h.r.Body, h.callerLimits().BodyBytes); err != nil && err != io.EOF {
		h.log.WithError(err).Debug("body of a refused request was not read to its end")
	}
}
