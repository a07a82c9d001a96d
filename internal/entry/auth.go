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

// caller is an authenticated request.
type caller struct {
	requestID string
	key       contract.Key
	contract  contract.Contract
	// body is the whole request body.
	body []byte
}

// handler serves an authenticated request. It returns a failure before it has
// written anything, or nil.
type handler func(ctx context.Context, c caller, r *restful.Request, w *restful.Response) error

const drainRetryAfter = time.Second

// authenticated wraps a handler with everything that each request needs.
func (s *Server) authenticated(next handler) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		id := uuid.NewString()
		w.Header().Set(headerRequestID, id)
		if s.Draining() {
			// A kept connection would be closed under a caller's next request.
			w.Header().Set("Connection", "close")
		}
		c, leave, err := s.admit(id, r, w)
		if err != nil {
			closeUnread(r, w)
			s.refuse(w, id, fault.WithExecution(err, fault.NotRun))
			return
		}
		defer leave()
		if err := s.serve(c, next, r, w); err != nil {
			s.refuse(w, id, err)
		}
	}
}

// closeUnread lets the refusal of a request whose body was not read go out at
// once. The HTTP server would else wait for the body first, to keep the
// connection, and a caller that sends slowly would learn late that it was given
// up on.
func closeUnread(r *restful.Request, w *restful.Response) {
	if r.Request.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}

// admit checks everything that comes before a request may cause anything. leave
// must be called when the call has ended.
func (s *Server) admit(id string, r *restful.Request, w *restful.Response) (c caller, leave func(), err error) {
	from, err := s.identify(id, r)
	if err != nil {
		return caller{}, nil, err
	}
	leave, err = s.open.enter(from.contract)
	if err != nil {
		return caller{}, nil, err
	}
	c, err = s.readChecked(from, r, w)
	if err != nil {
		leave()
		return caller{}, nil, err
	}
	return c, leave, nil
}

// identified is a request whose key is good. presented is what its caller sent.
type identified struct {
	caller
	presented contract.Presented
	snapshot  *contract.Snapshot
}

// identify finds out for whom a request comes, from its header alone.
func (s *Server) identify(id string, r *restful.Request) (identified, error) {
	if s.refusing.Load() {
		return identified{}, errors.WithStack(&fault.Draining{Wait: drainRetryAfter})
	}
	presented, err := presentedKey(r.Request)
	if err != nil {
		return identified{}, err
	}
	snapshot := s.View.Load()
	key, c, err := snapshot.Authenticate(presented)
	if err != nil {
		return identified{}, err
	}
	if age := s.Ager.Age(); age > c.Isolation.Duration() {
		return identified{}, errors.WithStack(&fault.ConfigurationStale{Account: string(c.Account), Age: age})
	}
	return identified{
		caller:    caller{requestID: id, key: key, contract: c},
		presented: presented,
		snapshot:  snapshot,
	}, nil
}

// readChecked reads a request's body and checks the whole request.
func (s *Server) readChecked(from identified, r *restful.Request, w *restful.Response) (caller, error) {
	body, err := readBody(w.ResponseWriter, r.Request, from.contract.Limits.BodyBytes, s.BodyTimeout)
	if err != nil {
		return caller{}, err
	}
	if err := checkExposure(r.Request, body, from.presented.Secret, from.snapshot); err != nil {
		return caller{}, err
	}
	from.body = body
	return from.caller, nil
}

// serve runs the handler in a session of the key, so that a withdrawal ends it.
func (s *Server) serve(c caller, next handler, r *restful.Request, w *restful.Response) error {
	ctx, end := s.sessions.begin(r.Request.Context(), c.key.ID)
	defer end()
	// The key may have been withdrawn between its check and the start of the
	// session; then the withdrawal's sweep has missed this request.
	if s.View.Load().Keys[c.key.ID].Withdrawn {
		return fault.WithExecution(errors.WithStack(&fault.KeyWithdrawn{KeyID: c.key.ID}), fault.NotRun)
	}
	s.Events.Emit(event.RequestAccepted, event.Subject{Request: c.requestID, Account: string(c.contract.Account)})
	return next(ctx, c, r, w)
}

// presentedKey reads the key from the Authorization header.
func presentedKey(r *http.Request) (contract.Presented, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		return contract.Presented{}, errors.WithStack(&fault.KeyMissing{})
	}
	text, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return contract.Presented{}, errors.WithStack(&fault.KeyInvalid{})
	}
	return contract.ParseKey(text)
}

// defaultBodyTimeout bounds how long a caller may take to send its body. Without a
// bound, callers that stop in the middle hold their requests for ever, and a
// planned stop waits for them.
const defaultBodyTimeout = time.Minute

func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	connection := http.NewResponseController(w)
	// A writer without deadlines, as in tests, has no slow caller either.
	_ = connection.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "body", Problem: "can't be read"})
	}
	if int64(len(body)) > limit {
		return nil, errors.WithStack(&fault.BodyTooLarge{Limit: limit})
	}
	_ = connection.SetReadDeadline(time.Time{})
	return body, nil
}
