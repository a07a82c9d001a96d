package operator

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// EventsAnswer is the answer of GET /v1/events: the merged events of all VMs.
type EventsAnswer struct {
	Events []event.Record `json:"events"`
	// Missing lists the VMs that did not answer; Events contains none of their events.
	Missing []string `json:"missing"`
}

// Names of the query parameters of GET /v1/events.
const (
	ParameterAfter    = "after"
	ParameterRequest  = "request"
	ParameterStep     = "step"
	ParameterLease    = "lease"
	ParameterAccount  = "account"
	ParameterUpstream = "upstream"
	ParameterEvent    = "event"
)

func (s *Server) listEvents(r *restful.Request) (any, error) {
	query, err := eventQuery(r)
	if err != nil {
		return nil, err
	}
	records, missing := s.Fleet.Events(r.Request.Context(), query)
	if records == nil {
		records = []event.Record{}
	}
	slices.Sort(missing)
	return EventsAnswer{Events: records, Missing: missing}, nil
}

// eventQuery parses the query parameters; upstream and event may occur more than once.
func eventQuery(r *restful.Request) (event.Query, error) {
	query := event.Query{
		Request:   r.QueryParameter(ParameterRequest),
		Step:      r.QueryParameter(ParameterStep),
		Lease:     r.QueryParameter(ParameterLease),
		Account:   r.QueryParameter(ParameterAccount),
		Upstreams: r.QueryParameters(ParameterUpstream),
	}
	if text := r.QueryParameter(ParameterAfter); text != "" {
		after, ok := event.ParseStamp(text)
		if !ok {
			return query, errors.WithStack(&fault.BadRequest{Field: ParameterAfter, Problem: "must be a stamp"})
		}
		query.After = after
	}
	for _, text := range r.QueryParameters(ParameterEvent) {
		number, err := strconv.Atoi(text)
		if err != nil {
			return query, errors.WithStack(&fault.BadRequest{Field: ParameterEvent, Problem: "must be a number"})
		}
		query.Numbers = append(query.Numbers, event.Number(number))
	}
	return query, nil
}
