// Package usage counts what client accounts use and reports it to billing by usage window.
// Each incarnation of a VM writes its absolute totals to one row per window. A reporter,
// which holds a lease, derives from these rows exactly one immutable report for each client
// account and window, and sends it to billing.
//
// A window is closed in two transactions. The first raises the cursor's floor above the
// window, after which no VM can open it, so that the set of rows is complete. The second
// has the precondition that no row has changed since it was read; it closes the rows of
// dead VMs and inserts the reports. If a VM that was considered dead counted more than its
// row contains, it reports the rest as a correction in its next window.
package usage

import (
	"maps"

	"dogwoodpond/internal/contract"
)

// Counts counts the usage of one client account.
type Counts struct {
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{Requests: c.Requests + other.Requests, Tokens: c.Tokens + other.Tokens}
}

// Sub returns c minus other.
func (c Counts) Sub(other Counts) Counts {
	return Counts{Requests: c.Requests - other.Requests, Tokens: c.Tokens - other.Tokens}
}

// Totals holds the usage by client account.
type Totals map[contract.Account]Counts

// add returns the sum of both totals for each account.
func (t Totals) add(u Totals) Totals {
	sum := maps.Clone(t)
	if sum == nil {
		sum = make(Totals)
	}
	for account, c := range u {
		sum[account] = sum[account].Add(c)
	}
	return sum
}

// sub returns t minus u for the accounts of t where the difference is not zero.
func (t Totals) sub(u Totals) Totals {
	difference := make(Totals)
	for account, c := range t {
		if d := c.Sub(u[account]); d != (Counts{}) {
			difference[account] = d
		}
	}
	return difference
}

// Window is the number of a usage window: its start, as wall time since the Unix epoch,
// divided by the length of a window.
type Window int64

// Row is the value of the row of one VM incarnation in a window.
type Row struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Counts is the usage while the window was the VM's open window.
	Counts Totals `json:"figures"`
	// Corrections is usage of earlier windows that their reports lack.
	Corrections Totals `json:"corrections,omitempty"`
	// Sealed is true if the VM made the row final.
	Sealed bool `json:"sealed"`
	// Next is the window that the transaction which sealed the row opened.
	Next Window `json:"next,omitempty"`
	// Closed is true if the reporter made the row final, since it considered the VM dead.
	Closed bool `json:"closed"`
}

// isFinal reports whether the row's counts can't change any more.
func (r Row) isFinal() bool { return r.Sealed || r.Closed }

// Report is the usage of one account in one window. A report row never changes after it was
// inserted.
type Report struct {
	Window      Window           `json:"window"`
	Account     contract.Account `json:"account"`
	Counts      Counts           `json:"figures"`
	Corrections Counts           `json:"corrections"`
	// Incomplete is true if a VM did not seal its row. The usage that it had not flushed
	// is missing.
	Incomplete bool `json:"incomplete"`
}

// Reports returns one report for each account in accounts or in a row. The result does not
// depend on the order of the rows.
func Reports(window Window, rows []Row, accounts []contract.Account) []Report {
	counts, corrections := Totals{}, Totals{}
	incomplete := false
	for _, r := range rows {
		counts = counts.add(r.Counts)
		corrections = corrections.add(r.Corrections)
		incomplete = incomplete || !r.Sealed
	}
	var reports []Report
	for _, account := range union(accounts, counts, corrections) {
		reports = append(reports, Report{
			Window:      window,
			Account:     account,
			Counts:      counts[account],
			Corrections: corrections[account],
			Incomplete:  incomplete,
		})
	}
	return reports
}
