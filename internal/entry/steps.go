package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"
	"github.com/go-playground/validator/v10"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/sample"
)

const (
	mimeNDJSON = "application/x-ndjson"
	// maxPullWait is the longest time a pull waits for its first sample.
	maxPullWait = 60 * time.Second
	// sendTimeout is the longest time between the validation of samples and
	// the start of the last write of one of them.
	sendTimeout = 5 * time.Second
)

// AckBody is the body of an ack call.
type AckBody struct {
	// Through is the number of the last sample that the trainer has received.
	Through int64 `json:"through"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

func (s *Server) routeSteps(ws *restful.WebService) {
	ws.Route(ws.PUT("/steps/{step}").To(s.authenticated(s.openStep)))
	ws.Route(ws.GET("/steps/{step}/samples").To(s.authenticated(s.pullSamples)))
	ws.Route(ws.POST("/steps/{step}/ack").To(s.authenticated(s.ackSamples)))
}

// openStep serves PUT /steps/{step}.
func (s *Server) openStep(ctx context.Context, c clientCall, r *restful.Request, w *restful.Response) error {
	var definition sample.Definition
	if err := decodeStrict(c.body, &definition); err != nil {
		return err
	}
	if err := checkDefinition(definition); err != nil {
		return err
	}
	status, err := s.Steps.Open(ctx, c.contract.Account, r.PathParameter("step"), definition)
	if fault.Is[*fault.StepMismatch](err) {
		return fault.WithExecution(err, fault.NotRun)
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

// checkDefinition validates the definition of a step.
func checkDefinition(d sample.Definition) error {
	var invalid validator.ValidationErrors
	if err := validate.Struct(d); errors.As(err, &invalid) {
		return badField(invalid[0].Namespace(), "must satisfy "+invalid[0].Tag()+" "+invalid[0].Param())
	}
	return d.Check()
}

// pullSamples serves GET /steps/{step}/samples.
func (s *Server) pullSamples(ctx context.Context, c clientCall, r *restful.Request, w *restful.Response) error {
	after, err := queryNumber(r, "after")
	if err != nil {
		return err
	}
	seconds, err := queryNumber(r, "wait")
	if err != nil {
		return err
	}
	number, err := queryNumber(r, "pull")
	if err != nil {
		return err
	}
	pull := sample.Pull{After: after, Number: number, Wait: min(time.Duration(seconds)*time.Second, maxPullWait)}
	step := r.PathParameter("step")
	samples, err := s.Steps.Samples(ctx, c.contract.Account, step, pull)
	if err != nil {
		// A pull only reads from the store; it runs nothing.
		return fault.WithExecution(err, fault.NotRun)
	}
	w.Header().Set("Content-Type", mimeNDJSON)
	sent := sendSamples(w, samples)
	s.Events.Emit(event.SamplesDelivered, event.Subject{
		Request: c.requestID,
		Account: string(c.contract.Account),
		Step:    step,
		Count:   countNotWithdrawn(sent),
	})
	return nil
}

// sendSamples writes samples whose staleness was just validated, and returns
// those that it wrote. If the trainer reads slowly or the VM is paused, the
// remaining samples could become stale before they are sent. They are left out
// after sendTimeout; the next pull requests them, and they are validated again.
func sendSamples(w io.Writer, samples []sample.Sample) []sample.Sample {
	validatedAt := time.Now()
	encoder := json.NewEncoder(w)
	for i, s := range samples {
		if time.Since(validatedAt) > sendTimeout || encoder.Encode(s) != nil {
			return samples[:i]
		}
	}
	return samples
}

// countNotWithdrawn returns the number of samples that are not tombstones of
// withdrawn samples.
func countNotWithdrawn(samples []sample.Sample) int64 {
	count := int64(0)
	for _, s := range samples {
		if !s.Withdrawn {
			count++
		}
	}
	return count
}

// queryNumber parses a non-negative query parameter. A missing parameter is 0.
func queryNumber(r *restful.Request, name string) (int64, error) {
	text := r.QueryParameter(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, badField(name, "must be a non-negative integer")
	}
	return n, nil
}

// ackSamples serves POST /steps/{step}/ack.
func (s *Server) ackSamples(ctx context.Context, c clientCall, r *restful.Request, w *restful.Response) error {
	var ack AckBody
	if err := decodeStrict(c.body, &ack); err != nil {
		return err
	}
	if err := s.Steps.Ack(ctx, c.contract.Account, r.PathParameter("step"), ack.Through); err != nil {
		// An ack only writes to the store; it runs nothing.
		return fault.WithExecution(err, fault.NotRun)
	}
	writeJSON(w, http.StatusOK, ack)
	return nil
}
