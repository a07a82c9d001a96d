// Package suspicion bounds how many upstreams one request may end. Limits on retries count answers
// of failure; an upstream that ends gives no answer. A request that ends each upstream that runs
// it, a query of death, would otherwise go from one to the next for as long as it is retried.
//
// A request under which MaxEnds upstreams may have ended is not sent again until one of them shows that it
// has survived. A suspicion is such a possible end: of one incarnation of an upstream, under one request. It
// begins with an attempt at a request that is already under suspicion, or with a lost answer. Whether the
// upstream has ended is known only later: connections break for other reasons too, and an upstream may go on
// with a request after its connection has closed, and end then. So the suspicion stays until that incarnation
// shows that it runs, and no longer runs the request. It is not kept for an attempt that did not run.
//
// Upstreams also end for causes of their own, many of them together or one after the other. Such ends count as well: a
// request that ends its upstreams does so in any company, and may end others together with them, so that no coincidence
// shows that it is not the cause. Only a report of the same incarnation takes back what counts. To keep sound requests
// under the limit, attempts wait until such ends are unlikely (Outlook), and the last one that the limit allows has an
// upstream of its own.
//
// The ledger of a VM holds the suspicions that it knows. Rows in the partition of a step hold them for its next
// owner and for later steps with the same item. A VM runs items once it has read all of these rows, and an item
// under suspicion only after the row of its attempt is stored and the rows of all open steps of the account were read
// once more: of two owners of the same item that begin at the same time, one at least knows of both attempts.
//
// The limit is MaxEnds on each path. What differs is how long a suspicion is known and what lifts it:
//
//	path                 kept                   lifted by
//	items                by rows, across steps  a report that doesn't list the item, SurvivalDelay after the lost
//	                                            answer; UnlistedSurvivalDelay if the engine lists no runs
//	score calls          by rows, across steps  the place in the list, UnlistedSurvivalDelay after the lost answer:
//	                                            services give no report; waits and is recorded like an item
//	plain requests       during the call        nothing: the call ends before it could be
//	streams              during the call        nothing; each attempt that ran counts
//	own interface        during the call        nothing
package suspicion

import (
	"strconv"
	"strings"

	"dogwoodpond/internal/target"
)

// MaxEnds is the largest number of upstreams that may have ended under a request that is sent
// again.
const MaxEnds = 3

// Request identifies a request: an ID that is unique within its client account.
type Request struct {
	Account string `json:"account"`
	ID      string `json:"request"`
}

// Suspicion is that an incarnation of an upstream has ended under a request, or may still.
type Suspicion struct {
	Request
	target.Incarnation
}

// Describe returns incarnations for events.
func Describe(incarnations []target.Incarnation) string {
	var parts []string
	for _, i := range incarnations {
		parts = append(parts, i.Upstream+" started "+strconv.FormatInt(i.Started, 10))
	}
	return strings.Join(parts, ", ")
}
