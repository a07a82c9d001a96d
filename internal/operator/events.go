package operator

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/emicklei/go-restful/v3"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// EventsAnswer holds the merged events of the fleet.
type EventsAnswer struct {
	Events []event.Record `json:"events"`
	// Missing names the VMs that did not answer; their events lack.
	Missing []string `json:"missing"`
}

// eventFilter picks events; an empty field picks all.
type eventFilter struct {
	request, step, lease, account string
}

func (f eventFilter) passes(e event.Record) bool {
	return matches(f.request, e.Request) &&
		matches(f.step, e.Step) &&
		matches(f.lease, e.Lease) &&
		matches(f.account, e.Account)
}

func matches(wanted, got string) bool { return wanted == "" || wanted == got }

func (s *Server) eventLine(r *restful.Request) (any, error) {
	var after event.Stamp
	if text := r.QueryParameter("after"); text != "" {
		parsed, ok := event.ParseStamp(text)
		if !ok {
			return nil, errors.WithStack(&fault.BadRequest{Field: "after", Problem: "must be a stamp"})
		}
		after = parsed
	}
	filter := eventFilter{
		request: r.QueryParameter("request"),
		step:    r.QueryParameter("step"),
		lease:   r.QueryParameter("lease"),
		account: r.QueryParameter("account"),
	}
	records, missing := s.Fleet.Events(r.Request.Context(), after)
	records = slices.DeleteFunc(records, func(e event.Record) bool { return !filter.passes(e) })
	if records == nil {
		records = []event.Record{}
	}
	slices.Sort(missing)
	return EventsAnswer{Events: records, Missing: missing}, nil
}
