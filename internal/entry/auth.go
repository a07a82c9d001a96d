package entry

import (
	"bytes"
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
		err := s.admit(id, next, r, w)
		if err != nil {
			s.refuse(w, id, err)
		}
	}
}

func (s *Server) admit(id string, next handler, r *restful.Request, w *restful.Response) error {
	if s.refusing.Load() {
		return errors.WithStack(&fault.Draining{Wait: drainRetryAfter})
	}
	presented, err := presentedKey(r.Request)
	if err != nil {
		return err
	}
	key, c, err := s.View.Load().Authenticate(presented)
	if err != nil {
		return err
	}
	if age := s.Ager.Age(); age > c.Isolation.Duration() {
		return errors.WithStack(&fault.ConfigurationStale{Account: string(c.Account), Age: age})
	}
	body, err := readBody(r.Request, c.Limits.BodyBytes)
	if err != nil {
		return err
	}
	if err := checkExposure(r.Request, body, presented.Secret); err != nil {
		return err
	}
	ctx, end := s.sessions.begin(r.Request.Context(), key.ID)
	defer end()
	// The key may have been withdrawn between its check and the start of the
	// session; then the withdrawal's sweep has missed this request.
	if s.View.Load().Keys[key.ID].Withdrawn {
		return errors.WithStack(&fault.KeyWithdrawn{KeyID: key.ID})
	}
	s.Events.Emit(event.RequestAccepted, event.Subject{Request: id, Account: string(c.Account)})
	return next(ctx, caller{requestID: id, key: key, contract: c, body: body}, r, w)
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

func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.WithStack(&fault.BadRequest{Field: "body", Problem: "can't be read"})
	}
	if int64(len(body)) > limit {
		return nil, errors.WithStack(&fault.BodyTooLarge{Limit: limit})
	}
	return body, nil
}

// checkExposure refuses a request that carries its key's secret outside the
// Authorization header, since those parts may reach an upstream.
func checkExposure(r *http.Request, body []byte, secret string) error {
	if strings.Contains(r.URL.Path, secret) || strings.Contains(r.URL.RawQuery, secret) {
		return errors.WithStack(&fault.KeyExposed{Part: "path or query"})
	}
	if bytes.Contains(body, []byte(secret)) {
		return errors.WithStack(&fault.KeyExposed{Part: "body"})
	}
	for name, values := range r.Header {
		if name != "Authorization" && strings.Contains(strings.Join(values, " "), secret) {
			return errors.WithStack(&fault.KeyExposed{Part: "header"})
		}
	}
	return nil
}
