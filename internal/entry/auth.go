package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// clientCall is an authenticated request of a client account.
type clientCall struct {
	requestID string
	key       contract.Key
	contract  contract.Contract
	// body is the complete request body.
	body []byte
}

// handler serves an authenticated request. It returns an error only if it has
// not written any part of the answer.
type handler func(ctx context.Context, c clientCall, r *restful.Request, w *restful.Response) error

// drainRetryAfter is the retry delay given to callers while the VM refuses new
// requests.
const drainRetryAfter = time.Second

// authenticated wraps a handler: it assigns the request ID, admits the request,
// and writes the refusal if the request is not admitted or fails.
func (s *Server) authenticated(next handler) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		id := uuid.NewString()
		w.Header().Set(headerRequestID, id)
		if s.Draining() {
			// A connection that is kept alive could be closed by the stop while
			// the caller sends its next request.
			w.Header().Set("Connection", "close")
		}
		c, release, err := s.admit(id, r, w)
		if err != nil {
			closeUnread(r, w)
			s.refuse(w, id, fault.WithExecution(err, fault.NotRun))
			return
		}
		defer release()
		if err := s.serve(c, next, r, w); err != nil {
			s.refuse(w, id, err)
		}
	}
}

// closeUnread makes the HTTP server close the connection after the refusal of a
// request whose body was not read. To reuse the connection, the server would
// first wait for the rest of the body, and a slow caller would receive the
// refusal late.
func closeUnread(r *restful.Request, w *restful.Response) {
	if r.Request.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}

// admit performs all checks that come before a request can have any effect. The
// caller of admit must call release when the request has ended.
func (s *Server) admit(id string, r *restful.Request, w *restful.Response) (c clientCall, release func(), err error) {
	header, err := s.checkHeader(id, r)
	if err != nil {
		return clientCall{}, nil, err
	}
	release, err = s.open.acquire(header.contract)
	if err != nil {
		return clientCall{}, nil, err
	}
	c, err = s.checkBody(header, r, w)
	if err != nil {
		release()
		return clientCall{}, nil, err
	}
	return c, release, nil
}

// checkedHeader is a request whose key is valid and whose body is not read yet.
// presented is the key as sent; snapshot is the configuration against which the
// key was checked.
type checkedHeader struct {
	clientCall
	presented contract.PresentedKey
	snapshot  *contract.Snapshot
}

// checkHeader authenticates a request by its header alone. It fails while the
// VM refuses new requests, and if the configuration is older than the contract
// of the client account allows.
func (s *Server) checkHeader(id string, r *restful.Request) (checkedHeader, error) {
	if s.refusing.Load() {
		return checkedHeader{}, errors.WithStack(&fault.Draining{Wait: drainRetryAfter})
	}
	presented, err := presentedKey(r.Request)
	if err != nil {
		return checkedHeader{}, err
	}
	snapshot := s.View.Load()
	key, c, err := snapshot.Authenticate(presented)
	if err != nil {
		return checkedHeader{}, err
	}
	if age := s.ConfigurationAge.Age(); age > c.Isolation.ServeDuration() {
		return checkedHeader{}, errors.WithStack(&fault.ConfigurationStale{Account: string(c.Account), Age: age})
	}
	return checkedHeader{
		clientCall: clientCall{requestID: id, key: key, contract: c},
		presented:  presented,
		snapshot:   snapshot,
	}, nil
}

// checkBody reads the request body and checks that no part of the request
// except the Authorization header contains a key.
func (s *Server) checkBody(header checkedHeader, r *restful.Request, w *restful.Response) (clientCall, error) {
	body, err := readBody(w.ResponseWriter, r.Request, header.contract.Limits.BodyBytes, s.BodyTimeout)
	if err != nil {
		return clientCall{}, err
	}
	if err := checkExposure(r.Request, body, header.presented.Secret, header.snapshot); err != nil {
		return clientCall{}, err
	}
	header.body = body
	return header.clientCall, nil
}

// serve runs the handler in a session of the key, so that withdrawing the key
// cancels the request.
func (s *Server) serve(c clientCall, next handler, r *restful.Request, w *restful.Response) error {
	ctx, end := s.sessions.begin(r.Request.Context(), c.key.ID)
	defer end()
	// The key may have been withdrawn after it was checked and before the
	// session began. CancelWithdrawnKeys did not see the session then.
	if s.View.Load().Keys[c.key.ID].Withdrawn {
		return fault.WithExecution(errors.WithStack(&fault.KeyWithdrawn{KeyID: c.key.ID}), fault.NotRun)
	}
	s.Events.Emit(event.RequestAccepted, event.Subject{Request: c.requestID, Account: string(c.contract.Account)})
	return next(ctx, c, r, w)
}

// presentedKey returns the key in the Authorization header.
func presentedKey(r *http.Request) (contract.PresentedKey, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		return contract.PresentedKey{}, errors.WithStack(&fault.KeyMissing{})
	}
	text, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return contract.PresentedKey{}, errors.WithStack(&fault.KeyInvalid{})
	}
	return contract.ParseKey(text)
}

// defaultBodyTimeout is how long a caller may take to send its body. Without a
// timeout, a caller that stops in the middle of its body would hold its request
// forever, and a planned stop would wait for it.
const defaultBodyTimeout = time.Minute

// readBody reads a request body of at most limit bytes within timeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	connection := http.NewResponseController(w)
	// A writer that does not support deadlines, as in tests, has no slow
	// caller.
	_ = connection.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "body", Problem: "could not be read completely"})
	}
	if int64(len(body)) > limit {
		return nil, errors.WithStack(&fault.BodyTooLarge{Limit: limit})
	}
	_ = connection.SetReadDeadline(time.Time{})
	return body, nil
}
