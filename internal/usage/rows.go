package usage

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
)

// Prefixes of row keys in the store. ReportPrefix is exported for the operators' view of
// the reports.
const (
	rowPrefix    = "usage/"
	windowPrefix = "window/"
	ReportPrefix = "report/"
	// cursorKey is the key of the row that records the reporter's progress.
	cursorKey = "usagecursor"
)

// vmRowsPrefix returns the prefix of the keys of all VMs' rows in a window.
func vmRowsPrefix(w Window) string { return fmt.Sprintf("%s%012d/", rowPrefix, w) }

// rowKey returns the key of an incarnation's row in a window.
func rowKey(w Window, vm, incarnation string) string {
	return vmRowsPrefix(w) + vm + "/" + incarnation
}

// windowKey returns the key of the row that holds a window's phase.
func windowKey(w Window) string { return fmt.Sprintf("%s%012d", windowPrefix, w) }

func reportPrefix(w Window) string { return fmt.Sprintf("%s%012d/", ReportPrefix, w) }

func reportKey(w Window, account contract.Account) string {
	return reportPrefix(w) + string(account)
}

// parseWindow returns the window in the key of a VM's row.
func parseWindow(key string) (Window, bool) {
	var w Window
	_, err := fmt.Sscanf(key, rowPrefix+"%d/", &w)
	return w, err == nil
}

// phase is the progress of closing a window; it is empty until the window is closed.
type phase string

const (
	// phaseClosed: the rows are final and the reports are inserted.
	phaseClosed phase = "closed"
	// phaseReported: billing has accepted every report.
	phaseReported phase = "reported"
)

// windowValue is the value of the row windowKey.
type windowValue struct {
	Phase phase `json:"phase"`
}

// cursorValue is the value of the row cursorKey. Floor is never below Next.
type cursorValue struct {
	// Next is the oldest window that may not be reported yet.
	Next Window `json:"next"`
	// Floor is the oldest window that a VM may still open. The reporter raises it before
	// it scans the rows of a window, so that no row is added after the scan.
	Floor Window `json:"floor"`
	// Swept is the oldest window whose rows may still exist.
	Swept Window `json:"swept"`
}

// readCursor returns the cursor and its row; without a row the cursor is zero.
func readCursor(ctx context.Context, tables platformapi.Tables) (cursorValue, platformapi.Row, error) {
	row, err := tables.Get(ctx, cursorKey)
	if err != nil {
		return cursorValue{}, row, err
	}
	var cursor cursorValue
	if row.Exists() {
		err = row.Decode(&cursor)
	}
	return cursor, row, err
}

// union returns the accounts and those of the totals, sorted and without duplicates.
func union(accounts []contract.Account, more ...Totals) []contract.Account {
	set := make(map[contract.Account]bool)
	for _, a := range accounts {
		set[a] = true
	}
	for _, t := range more {
		for a := range t {
			set[a] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
