package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dogwoodpond/internal/operator"
	"dogwoodpond/internal/platformapi"
)

func (a *App) fleetCommands() {
	status := a.kingpin.Command("status", "Show failure domains, VMs, leases and upstreams, and which revision is in force where.")
	status.Action(func(*kingpin.ParseContext) error { return a.status() })

	steps := a.kingpin.Command("steps", "Show the progress of the steps.")
	account := steps.Arg("account", "Only this client account.").String()
	steps.Action(func(*kingpin.ParseContext) error { return a.steps(*account) })

	usage := a.kingpin.Command("usage", "Show the usage reports.")
	window := usage.Arg("window", "Only this usage window, given by its start in seconds since the Unix epoch.").Int64()
	since := usage.Flag("since", "How far back the reports go, for example 48h.").Default("24h").Duration()
	usage.Action(func(*kingpin.ParseContext) error { return a.usage(*window, *since) })
}

func (a *App) status() error {
	var answer operator.Status
	if err := a.client().Call(context.Background(), http.MethodGet, "/v1/status", nil, &answer); err != nil {
		return err
	}
	return a.show(answer, func(w io.Writer) { statusTables(w, answer) })
}

func statusTables(w io.Writer, s operator.Status) {
	row(w, fmt.Sprintf("as VM %s sees it, revision %d", s.VM, s.Revision))
	row(w)
	row(w, "FAILURE DOMAIN", "VMS HEARD", "REVISION", "UPSTREAMS", "STATE")
	for _, d := range s.Domains {
		row(w, d.FailureDomain, fmt.Sprintf("%d of %d", d.Responsive, d.VMs), d.Revision, d.Upstreams, domainState(d))
	}
	row(w)
	row(w, "VM", "FAILURE DOMAIN", "REVISION", "HEARD", "STATE")
	for _, vm := range s.VMs {
		row(w, vm.VM, vm.FailureDomain, vm.Revision, reportAge(vm), vmState(vm))
	}
	row(w)
	if s.LeasesUnknown {
		row(w, "leases: not known, the store did not answer")
	} else {
		row(w, "LEASE", "HOLDER", "EPOCH")
		for _, l := range s.Leases {
			row(w, l.Name, orDash(l.Holder), l.Epoch)
		}
	}
	row(w)
	row(w, "UPSTREAM", "FAILURE DOMAIN", "KIND", "STATE", "SERVES", "SLOTS", "RECLAIMABLE", "CHECKS FENCING")
	for _, u := range s.Upstreams {
		row(w, u.ID, u.FailureDomain, u.Kind, u.State, serves(u), u.Slots, yesNo(u.Reclaimable), yesNo(u.ChecksFencing))
	}
}

func domainState(d operator.Domain) string {
	if d.CutOff {
		return "cut off"
	}
	return "reached"
}

func reportAge(vm operator.VMRevision) string {
	if !vm.Known {
		return "never"
	}
	return (time.Duration(vm.AgeMillis) * time.Millisecond).String() + " ago"
}

func vmState(vm operator.VMRevision) string {
	switch {
	case !vm.Known:
		return "unknown"
	case vm.Draining:
		return "draining"
	default:
		return "serving"
	}
}

// serves returns what an upstream serves: its service, or its model and adapter.
func serves(u platformapi.Upstream) string {
	if u.Kind == platformapi.KindService {
		return u.Service
	}
	if u.Adapter == "" {
		return u.Model
	}
	return u.Model + "+" + u.Adapter
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (a *App) steps(account string) error {
	var steps []operator.Step
	route := "/v1/steps?" + url.Values{"account": {account}}.Encode()
	if err := a.client().Call(context.Background(), http.MethodGet, route, nil, &steps); err != nil {
		return err
	}
	return a.show(steps, func(w io.Writer) {
		row(w, "ACCOUNT", "STEP", "MODEL", "SLOTS", "COMMITTED", "CONFIRMED BY TRAINER")
		for _, s := range steps {
			row(w, s.Account, s.Step, s.Model, s.Slots, s.Committed, s.Acked)
		}
	})
}

func (a *App) usage(window int64, since time.Duration) error {
	route := fmt.Sprintf("/v1/usage?from=%d", max(0, time.Now().Add(-since).Unix()))
	if window != 0 {
		route = fmt.Sprintf("/v1/usage/%d", window)
	}
	var reports []platformapi.UsageReport
	if err := a.client().Call(context.Background(), http.MethodGet, route, nil, &reports); err != nil {
		return err
	}
	return a.show(reports, func(w io.Writer) {
		row(w, "WINDOW", "FROM", "ACCOUNT", "REQUESTS", "TOKENS", "CORRECTED", "COMPLETE")
		for _, r := range reports {
			corrected := fmt.Sprintf("%+d/%+d", r.CorrectionRequests, r.CorrectionTokens)
			row(w, r.Window, formatTime(time.Unix(r.Window, 0)), r.Account, r.Requests, r.Tokens, corrected, yesNo(!r.Incomplete))
		}
	})
}
