package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"dogwoodpond/internal/fault"
)

const (
	// smallBodyBytes bounds a body that may use the reserve for small ones.
	smallBodyBytes = 64 << 10
	// firstBodyBuffer is the size of the first buffer for a body that is small, or whose length isn't known.
	firstBodyBuffer = 4 << 10
	// bodyRetryAfter is the Retry-After of a request for whose body there is no memory.
	bodyRetryAfter = 500 * time.Millisecond
	// refusedBodyTimeout is how long a client may still send the body of a request that was refused without it.
	refusedBodyTimeout = 3 * time.Second
)

// Bodies bounds the memory of the bodies of all requests together. A body of known length that isn't small is
// refused at once if there is no room for it. Any other one takes memory as it arrives, so that clients that send
// little of what they announced take little. Small bodies have a reserve that large ones can't use. Bodies is safe for
// concurrent use.
type Bodies struct {
	max int64
	// common is for all bodies, small for small ones that find no room there.
	common, small *semaphore.Weighted
}

// NewBodies returns the bounds for max bytes, and a reserve for small bodies.
func NewBodies(max, reserve int64) *Bodies {
	return &Bodies{max: max, common: semaphore.NewWeighted(max), small: semaphore.NewWeighted(reserve)}
}

// Read reads the body of a request, of at most limit bytes and until a deadline. release must be called when the body
// is no longer needed. If Read fails, the request has not run and the body is not read on.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body []byte, release func(), err error) {
	limit = min(limit, b.max)
	if r.ContentLength > limit {
		return nil, nil, errors.WithStack(&fault.BodyTooLarge{Limit: limit})
	}
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	// A writer without deadlines, as in tests, has no slow client.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline)
	reserved := &bodyReservation{bodies: b}
	if r.ContentLength > 0 {
		body, err = reserved.readKnown(r)
	} else {
		body, err = reserved.readUnknown(r, limit)
	}
	if err != nil {
		reserved.release()
		return nil, nil, err
	}
	_ = connection.SetReadDeadline(time.Time{})
	if !endBody(r) {
		reserved.release()
		return nil, nil, fault.WithExecution(errors.WithStack(&fault.CallerGone{}), fault.NotRun)
	}
	return body, reserved.release, nil
}

// BeginRequest must be called before a request is handled. If it has a body, its connection may be closed for another
// one until Read has read the body, and the server reads on only for a while if the request is refused without it.
func BeginRequest(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		beginBody(r)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
}

// bodyReservation is the memory that one body has reserved.
type bodyReservation struct {
	bodies        *Bodies
	common, small int64
}

// growTo reserves size bytes instead of what is reserved. It fails if there is no room.
func (r *bodyReservation) growTo(size int64) error {
	if more := size - r.common; r.bodies.common.TryAcquire(more) {
		r.common = size
		r.bodies.small.Release(r.small)
		r.small = 0
		return nil
	}
	if more := size - r.common - r.small; size <= smallBodyBytes && r.bodies.small.TryAcquire(more) {
		r.small += more
		return nil
	}
	return fault.WithExecution(errors.WithStack(&fault.QueueFull{Wait: bodyRetryAfter}), fault.NotRun)
}

func (r *bodyReservation) release() {
	r.bodies.common.Release(r.common)
	r.bodies.small.Release(r.small)
	r.common, r.small = 0, 0
}

// readKnown reads a body of known length.
func (r *bodyReservation) readKnown(request *http.Request) ([]byte, error) {
	length := request.ContentLength
	buffer := firstBodyBuffer
	if length > smallBodyBytes {
		buffer = int(length)
	}
	body, err := r.read(request.Body, buffer, int(length), int(length))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) < length {
		return nil, errors.WithStack(&fault.BadRequest{Field: "body", Problem: "shorter than its length"})
	}
	return body, nil
}

// readUnknown reads a body of unknown length.
func (r *bodyReservation) readUnknown(request *http.Request, limit int64) ([]byte, error) {
	body, err := r.read(request.Body, firstBodyBuffer, int(limit)+1, -1)
	if err == nil && int64(len(body)) > limit {
		err = errors.WithStack(&fault.BodyTooLarge{Limit: limit})
	}
	return body, err
}

// read reads a body up to its end, its length, or maxBytes, with a first buffer of a size.
func (r *bodyReservation) read(from io.Reader, buffer, maxBytes, length int) ([]byte, error) {
	var body []byte
	for len(body) != length && len(body) < maxBytes {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), buffer), maxBytes)
			if err := r.growTo(min(int64(size), r.bodies.max)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, bodyError(err)
		}
	}
	return body, nil
}

// bodyError returns the error of a request whose body can't be read.
func bodyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded) {
		return fault.WithExecution(errors.WithStack(&fault.DeadlineExceeded{}), fault.NotRun)
	}
	return errors.WithStack(&fault.BadRequest{Field: "body", Problem: "can't be read completely"})
}
