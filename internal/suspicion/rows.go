package suspicion

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwoodpond/internal/rowstore"
)

// RowPrefix starts the names of the rows that hold suspicions, in the partition of a step in the table of state
// rows, which all VMs watch. Such a row is never changed: each process adds its own, and a reader joins them.
const RowPrefix = "loss-"

// Record is an entry of a row: a suspicion, or that the incarnation has survived the request.
type Record struct {
	Suspicion
	Survived bool `json:"survived,omitempty"`
	// Service is that of the incarnation, and Lost when the answer was lost, in Unix milliseconds; empty and 0
	// if unknown. The next owner learns from them which upstreams ended together.
	Service string `json:"service,omitempty"`
	Lost    int64  `json:"lost,omitempty"`
}

// recordLocked returns the record of a suspicion.
func (l *Ledger) recordLocked(suspicion Suspicion, s state) Record {
	r := Record{Suspicion: suspicion}
	if !s.lostAt.IsZero() {
		r.Service, r.Lost = l.ends[suspicion.Incarnation].service, s.lostAt.UnixMilli()
	}
	return r
}

// joinLocked joins what another process has recorded.
func (l *Ledger) joinLocked(r Record, now time.Time) {
	s := state{at: now, recorded: true, open: l.suspicions[r.Request][r.Incarnation].open}
	if r.Lost > 0 {
		s.lostAt = time.UnixMilli(r.Lost)
		if _, known := l.ends[r.Incarnation]; !known && r.Service != "" {
			l.ends[r.Incarnation] = end{r.Service, s.lostAt}
		}
	}
	l.putLocked(r.Request, r.Incarnation, s)
}

// IsRow reports whether a row holds suspicions.
func IsRow(row rowstore.Row) bool { return strings.HasPrefix(row.Name, RowPrefix) }

// RowName returns the name of a new row of this process.
func (l *Ledger) RowName() string {
	return RowPrefix + l.process + "-" + strconv.FormatInt(l.written.Add(1), 10)
}

// ForgetRows forgets which rows of a removed step are known.
func (l *Ledger) ForgetRows(step string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rows, step)
}

// Observe joins the rows of suspicions of other processes among rows to the ledger, in the order in which they were written, and
// returns those that can't be read. mu is held throughout: a concurrent reader of a row must not go on before
// its content counts.
func (l *Ledger) Observe(rows []rowstore.Row, now time.Time) (unreadable []rowstore.Row) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(row rowstore.Row) bool {
		return !IsRow(row) || row.Deleted || strings.HasPrefix(row.Name, RowPrefix+l.process)
	})
	slices.SortFunc(rows, func(a, b rowstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		if l.rows[row.Part][row.Name] {
			continue
		}
		if l.rows[row.Part] == nil {
			l.rows[row.Part] = make(map[string]bool)
		}
		l.rows[row.Part][row.Name] = true
		var records []Record
		if err := json.Unmarshal(row.Value, &records); err != nil {
			unreadable = append(unreadable, row)
			continue
		}
		l.noteStoredLocked(records, now)
		for _, r := range records {
			s := l.suspicions[r.Request][r.Incarnation]
			switch {
			case !r.Survived:
				l.joinLocked(r, now)
			case !s.open:
				l.removeLocked(r.Request, r.Incarnation)
			}
		}
	}
	return unreadable
}

// NoteTold joins suspicions that another process has told this one of, and reports whether any is new.
func (l *Ledger) NoteTold(lost []Record, now time.Time) (isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, told := range lost {
		s, known := l.suspicions[told.Request][told.Incarnation]
		if told.Survived || known && s.recorded && s.counts() {
			continue
		}
		l.joinLocked(told, now)
		isNew = true
	}
	return isNew
}

// NoteStored records that the store has records of this process.
func (l *Ledger) NoteStored(records []Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteStoredLocked(records, now)
}

func (l *Ledger) noteStoredLocked(records []Record, now time.Time) {
	for _, r := range records {
		l.stored[r.Suspicion] = now
		if r.Survived {
			delete(l.stored, r.Suspicion)
		}
	}
}

// LostUnstored returns records of the suspicions against requests that only this process knows of, without those of attempts in progress:
// they may not have been sent, and nothing would take them back.
func (l *Ledger) LostUnstored(requests map[Request]bool) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost []Record
	for request, suspicions := range l.suspicions {
		done, asked := requests[request]
		for incarnation, s := range suspicions {
			suspicion := Suspicion{request, incarnation}
			if _, ok := l.stored[suspicion]; !ok && asked && !done && s.counts() && !s.open && !s.recorded {
				lost = append(lost, l.recordLocked(suspicion, s))
			}
		}
	}
	return lost
}

// Unstored returns the records by which the store has to be brought up to date about requests: the suspicions that
// it lacks, unless the request is done, which is the value, and those that were lifted since.
func (l *Ledger) Unstored(requests map[Request]bool) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for stored := range l.stored {
		s, ok := l.suspicions[stored.Request][stored.Incarnation]
		if _, asked := requests[stored.Request]; asked && !(ok && s.counts()) {
			records = append(records, Record{Suspicion: stored, Survived: true})
		}
	}
	for request, suspicions := range l.suspicions {
		done, asked := requests[request]
		for incarnation, s := range suspicions {
			unstored := Suspicion{request, incarnation}
			if _, ok := l.stored[unstored]; !ok && asked && !done && s.counts() {
				records = append(records, l.recordLocked(unstored, s))
			}
		}
	}
	return records
}
