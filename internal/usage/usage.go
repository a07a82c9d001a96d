// Package usage is the aggregate of usage windows. Each VM keeps absolute
// totals of its own incarnation in one row a window; a closer, under a lease,
// makes from these rows exactly one immutable report for each client account
// and window, and hands it to billing.
//
// A window is closed in two transactions. The first marks it as closing, after
// which no VM can open it, so that the set of rows is complete. The second
// demands that every row is as it was read, closes the rows of VMs that died,
// and inserts the reports. What a VM that was taken for dead counted besides
// goes into its next window as a named correction.
package usage

import (
	"maps"

	"dogwoodpond/internal/contract"
)

// Figures is what one client account used.
type Figures struct {
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
}

// Add returns the sum.
func (f Figures) Add(g Figures) Figures {
	return Figures{Requests: f.Requests + g.Requests, Tokens: f.Tokens + g.Tokens}
}

// Sub returns the difference.
func (f Figures) Sub(g Figures) Figures {
	return Figures{Requests: f.Requests - g.Requests, Tokens: f.Tokens - g.Tokens}
}

// Totals holds figures by client account.
type Totals map[contract.Account]Figures

// add returns the sums of two totals.
func (t Totals) add(u Totals) Totals {
	sum := maps.Clone(t)
	if sum == nil {
		sum = make(Totals)
	}
	for account, f := range u {
		sum[account] = sum[account].Add(f)
	}
	return sum
}

// sub returns the differences that are not zero.
func (t Totals) sub(u Totals) Totals {
	rest := make(Totals)
	for account, f := range t {
		if d := f.Sub(u[account]); d != (Figures{}) {
			rest[account] = d
		}
	}
	return rest
}

// Window numbers the windows: the wall time divided by the window's length.
type Window int64

// Row is the value of one VM incarnation's row in a window.
type Row struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Figures were used while the window was the VM's current one.
	Figures Totals `json:"figures"`
	// Corrections were used in earlier windows and missed their reports.
	Corrections Totals `json:"corrections,omitempty"`
	// Sealed rows are final, said by the VM.
	Sealed bool `json:"sealed"`
	// Next is the window that was opened by the transaction that sealed the row.
	Next Window `json:"next,omitempty"`
	// Closed rows are final, said by the closer, who took the VM for dead.
	Closed bool `json:"closed"`
}

// final reports whether the row's figures can't change any more.
func (r Row) final() bool { return r.Sealed || r.Closed }

// Report is the figures of one account in one window. A report row never
// changes once inserted.
type Report struct {
	Window      Window           `json:"window"`
	Account     contract.Account `json:"account"`
	Figures     Figures          `json:"figures"`
	Corrections Figures          `json:"corrections"`
	// Incomplete is true when a VM died before it had sealed its row: what it
	// had not flushed is missing.
	Incomplete bool `json:"incomplete"`
}

// Reports makes one report for each account, known by its contract or by a row.
// The result depends on its arguments only, in whatever order the rows come.
func Reports(window Window, rows []Row, accounts []contract.Account) []Report {
	figures, corrections := Totals{}, Totals{}
	incomplete := false
	for _, r := range rows {
		figures = figures.add(r.Figures)
		corrections = corrections.add(r.Corrections)
		incomplete = incomplete || !r.Sealed
	}
	var reports []Report
	for _, account := range union(accounts, figures, corrections) {
		reports = append(reports, Report{
			Window:      window,
			Account:     account,
			Figures:     figures[account],
			Corrections: corrections[account],
			Incomplete:  incomplete,
		})
	}
	return reports
}
