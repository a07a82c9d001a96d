package usage

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/platformapi"
)

// Prefixes of the rows in the table service. ReportPrefix is exported for the
// operators' view.
const (
	rowPrefix    = "usage/"
	windowPrefix = "window/"
	ReportPrefix = "report/"
	// cursorKey holds how far the closer is.
	cursorKey = "usagecursor"
)

func windowRows(w Window) string { return fmt.Sprintf("%s%012d/", rowPrefix, w) }

func rowKey(w Window, vm, incarnation string) string {
	return windowRows(w) + vm + "/" + incarnation
}

func windowKey(w Window) string { return fmt.Sprintf("%s%012d", windowPrefix, w) }

func reportPrefix(w Window) string { return fmt.Sprintf("%s%012d/", ReportPrefix, w) }

func reportKey(w Window, account contract.Account) string {
	return reportPrefix(w) + string(account)
}

// windowOf reads the window from a row's key.
func windowOf(key string) (Window, bool) {
	var w Window
	_, err := fmt.Sscanf(key, rowPrefix+"%d/", &w)
	return w, err == nil
}

// phase is how far the closing of a window is.
type phase string

const (
	// phaseClosed: the reports are inserted.
	phaseClosed phase = "closed"
	// phaseReported: billing has accepted every report.
	phaseReported phase = "reported"
)

// windowRow is the value of a window's row.
type windowRow struct {
	Phase phase `json:"phase"`
}

// cursorRow is the value of the row cursorKey. Floor is never below Next.
type cursorRow struct {
	// Next is the oldest window that may not be reported yet.
	Next Window `json:"next"`
	// Floor is the oldest window that a VM may still open. Raising it before
	// the rows are scanned makes the scan complete.
	Floor Window `json:"floor"`
	// Swept is the oldest window whose rows may still be there.
	Swept Window `json:"swept"`
}

// readCursor returns the cursor and its row; before the first window it is zero.
func readCursor(ctx context.Context, tables platformapi.Tables) (cursorRow, platformapi.Row, error) {
	row, err := tables.Get(ctx, cursorKey)
	if err != nil {
		return cursorRow{}, row, err
	}
	var cursor cursorRow
	if row.Exists() {
		err = row.Decode(&cursor)
	}
	return cursor, row, err
}

// union lists all accounts once, in order.
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
