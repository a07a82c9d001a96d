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
	// maxWait bounds how long a pull waits for the first sample.
	maxWait = 60 * time.Second
	// sendTime bounds how long after their judgement samples are sent.
	sendTime = 5 * time.Second
)

// AckBody is the body of an ack.
type AckBody struct {
	// Through is the number of the last sample that the trainer has.
	Through int64 `json:"through"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

func (s *Server) routeSteps(ws *restful.WebService) {
	ws.Route(ws.PUT("/steps/{step}").To(s.authenticated(s.openStep)))
	ws.Route(ws.GET("/steps/{step}/samples").To(s.authenticated(s.pullSamples)))
	ws.Route(ws.POST("/steps/{step}/ack").To(s.authenticated(s.ackSamples)))
}

func (s *Server) openStep(ctx context.Context, c caller, r *restful.Request, w *restful.Response) error {
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

func checkDefinition(d sample.Definition) error {
	var broken validator.ValidationErrors
	if err := validate.Struct(d); errors.As(err, &broken) {
		return badField(broken[0].Namespace(), "must satisfy "+broken[0].Tag()+" "+broken[0].Param())
	}
	return d.Check()
}

func (s *Server) pullSamples(ctx context.Context, c caller, r *restful.Request, w *restful.Response) error {
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
	pull := sample.Pull{After: after, Number: number, Wait: min(time.Duration(seconds)*time.Second, maxWait)}
	step := r.PathParameter("step")
	samples, err := s.Steps.Samples(ctx, c.contract.Account, step, pull)
	if err != nil {
		// A pull reads only the store.
		return fault.WithExecution(err, fault.NotRun)
	}
	w.Header().Set("Content-Type", mimeNDJSON)
	sent := sendSamples(w, samples)
	s.Events.Emit(event.SamplesDelivered, event.Subject{
		Request: c.requestID,
		Account: string(c.contract.Account),
		Step:    step,
		Count:   whole(sent),
	})
	return nil
}

// sendSamples writes samples that were judged just now, and returns those that
// it wrote. A trainer that reads slowly, or a VM that is paused in between,
// would let the later ones go stale on their way. They are left out after
// sendTime: the trainer's next pull asks for them, and judges them anew.
func sendSamples(w io.Writer, samples []sample.Sample) []sample.Sample {
	judged := time.Now()
	encoder := json.NewEncoder(w)
	for i, kept := range samples {
		if time.Since(judged) > sendTime || encoder.Encode(kept) != nil {
			return samples[:i]
		}
	}
	return samples
}

// whole counts the samples that are no tombstones.
func whole(samples []sample.Sample) int64 {
	count := int64(0)
	for _, s := range samples {
		if !s.Withdrawn {
			count++
		}
	}
	return count
}

// queryNumber reads a non-negative number; an absent one is 0.
func queryNumber(r *restful.Request, name string) (int64, error) {
	text := r.QueryParameter(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, badField(name, "must be a number from 0")
	}
	return n, nil
}

func (s *Server) ackSamples(ctx context.Context, c caller, r *restful.Request, w *restful.Response) error {
	var ack AckBody
	if err := decodeStrict(c.body, &ack); err != nil {
		return err
	}
	if err := s.Steps.Ack(ctx, c.contract.Account, r.PathParameter("step"), ack.Through); err != nil {
		// An ack writes only the store.
		return fault.WithExecution(err, fault.NotRun)
	}
	writeJSON(w, http.StatusOK, ack)
	return nil
}
