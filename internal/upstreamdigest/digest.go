// Package upstreamdigest gives the VMs of a large fleet the upstreams of plain services
// without the list of all upstreams. Every upstream renews its entry in the list, so the list
// of a fleet changes with each of thousands of engines, and every VM that watches it reads all
// of that. Engines matter only to the VMs that run steps or order upstreams. A few VMs, the
// writers, watch the list and write what the others need: a row of contents when it changes,
// and a beat that says by which version of the store it holds.
package upstreamdigest

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/rowstore"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/wait"
)

const (
	// beatTable has a row for each writer, contentTable the contents that it last wrote, both
	// in a partition for each failure domain.
	beatTable    = "upstream-beat"
	contentTable = "upstream-digest"
	// beatInterval is the interval between two beats of a writer.
	beatInterval = 500 * time.Millisecond
	// maxListAge is the age of the list above which a writer writes no beat.
	maxListAge = 1500 * time.Millisecond
	// maxContentBytes is the size above which a writer writes nothing, and all VMs watch the
	// list. The store accepts rows of 64 KiB.
	maxContentBytes = 60 << 10
	// stoppedAfter is how long beats may be missing, or show no newer version, before a VM
	// watches the list itself.
	stoppedAfter = 2 * time.Second
	// callTimeout is the timeout of one call; a slow store answers within it.
	callTimeout = 1200 * time.Millisecond
)

// beat says that the contents with a fingerprint hold by a version of the store.
type beat struct {
	Version     int64  `json:"version"`
	Fingerprint uint64 `json:"fingerprint"`
}

// upstream is one upstream of a plain service.
type upstream struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Slots       int    `json:"slots"`
	Leaving     bool   `json:"leaving,omitempty"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	Started     int64  `json:"started"`
}

// fingerprint identifies upstreams, whatever the version by which they hold.
func fingerprint(upstreams []upstream) (uint64, error) {
	encoded, err := json.Marshal(upstreams)
	return xxhash.Sum64(encoded), err
}

// Writer writes the digest on the VMs that Writes selects.
type Writer struct {
	VM, Domain string
	Store      rowstore.Store
	Roster     *target.Roster
	Events     *event.Recorder
	// PlainServices returns the services whose upstreams the digest holds.
	PlainServices func() []string
	// ListVersion returns the version of the store by which the roster holds the list.
	ListVersion func() int64
	// Writes reports whether this VM writes the digest.
	Writes func() bool

	written uint64
	// contents is this VM's row of contents. Contents that take effect late, after newer ones,
	// would not be those that the beats describe.
	contents rowstore.OwnRow
	failing  bool
}

// Run writes the digest until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Writes() && w.Roster.ListAge(time.Now()) <= maxListAge {
			err := w.write(ctx)
			if err != nil && !w.failing {
				w.Events.Emit(event.HeartbeatFailed, event.Subject{Detail: "digest of upstreams: " + err.Error()})
			}
			w.failing = err != nil
		}
		wait.For(ctx, beatInterval)
	}
}

// write writes the contents, if they changed, and a beat.
func (w *Writer) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The version is read first: the roster may be newer, never older.
	version := w.ListVersion()
	upstreams := w.upstreams()
	current, err := fingerprint(upstreams)
	if err != nil {
		return err
	}
	if current != w.written {
		encoded, err := json.Marshal(upstreams)
		if err != nil || len(encoded) > maxContentBytes {
			return err
		}
		if err := w.contents.Write(ctx, w.Store, w.key(contentTable), encoded); err != nil {
			return err
		}
		w.written = current
	}
	encoded, err := json.Marshal(beat{Version: version, Fingerprint: current})
	if err != nil {
		return err
	}
	_, err = w.Store.Commit(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: w.key(beatTable), Value: encoded}}})
	return err
}

func (w *Writer) key(table string) rowstore.Key {
	return rowstore.Key{Table: table, Part: w.Domain, Name: w.VM}
}

func (w *Writer) upstreams() []upstream {
	all := []upstream{}
	for _, service := range w.PlainServices() {
		for _, e := range w.Roster.Upstreams(service) {
			info := e.Info()
			if e.Unlisted() {
				continue
			}
			all = append(all, upstream{
				ID: info.ID, Service: info.Service, Address: info.Address, Domain: info.FailureDomain, Slots: info.Slots,
				Leaving: info.Leaving, Reclaimable: info.Reclaimable, Started: info.Started,
			})
		}
	}
	return all
}

// Follower follows the digests of all writers.
type Follower struct {
	Store  rowstore.Store
	Roster *target.Roster
	Events *event.Recorder
	// PollInterval returns the interval between two reads.
	PollInterval func() time.Duration
	// OnRead is called when the digests showed that the roster is up to date.
	OnRead func()
	// HeldBy is the newest version of the store by which the roster holds the upstreams; 0 if it
	// holds none. Digests of older versions are ignored.
	HeldBy int64

	// after is the version of the store up to which beats were read.
	after int64
	// newerAt is when the last digest of a newer version than HeldBy was read.
	newerAt time.Time
	// applied is the fingerprint of the upstreams in the roster, 0 at first.
	applied uint64
}

// Run follows the digests until ctx ends, or until they have stopped while the store is
// available. It must be called once.
func (f *Follower) Run(ctx context.Context) {
	f.newerAt = time.Now()
	for ctx.Err() == nil {
		started := time.Now()
		if err := f.poll(ctx); err != nil {
			// Beats can't stop while they can't be read.
			f.newerAt = f.newerAt.Add(time.Since(started) + f.PollInterval())
		} else if time.Since(f.newerAt) > stoppedAfter {
			return
		}
		wait.For(ctx, f.PollInterval())
	}
}

// poll reads new beats, and the contents if they changed.
func (f *Follower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if f.after == 0 {
		return f.skipHistory(ctx)
	}
	page, err := f.Store.Changes(ctx, beatTable, f.after, 0)
	if fault.Is[*rowstore.HistoryTruncated](err) {
		return f.skipHistory(ctx)
	}
	if err != nil {
		return err
	}
	f.after = max(f.after, page.Version)
	newest, writer, ok := f.newestBeat(page.Rows)
	if !ok {
		return nil
	}
	if newest.Fingerprint != f.applied {
		if err := f.readContents(ctx, writer, newest.Fingerprint); err != nil {
			return err
		}
	}
	if newest.Fingerprint == f.applied {
		f.HeldBy, f.newerAt = newest.Version, time.Now()
		f.OnRead()
	}
	return nil
}

// skipHistory continues with the beats that are written from now on.
func (f *Follower) skipHistory(ctx context.Context) error {
	page, err := f.Store.Read(ctx, beatTable, "", "", "")
	f.after = page.Version
	return err
}

// newestBeat returns the beat with the newest version among rows, if it is newer than those
// before, and the key of its writer. A writer that was frozen and wakes has an old version.
func (f *Follower) newestBeat(rows []rowstore.Row) (newest beat, writer rowstore.Key, ok bool) {
	for _, row := range rows {
		var b beat
		if row.Deleted {
			continue
		}
		if err := json.Unmarshal(row.Value, &b); err != nil {
			f.Events.Emit(event.RowUnreadable, event.Subject{Detail: row.String()})
			continue
		}
		if b.Version > f.HeldBy && (!ok || b.Version > newest.Version) {
			newest, writer, ok = b, row.Key, true
		}
	}
	return newest, writer, ok
}

// readContents reads the contents of a writer and replaces the upstreams of the roster, if they
// are those of its beat.
func (f *Follower) readContents(ctx context.Context, writer rowstore.Key, expected uint64) error {
	page, err := f.Store.Read(ctx, contentTable, writer.Part, writer.Name, writer.Name+"\x00")
	if err != nil || len(page.Rows) == 0 {
		return err
	}
	var upstreams []upstream
	if err := json.Unmarshal(page.Rows[0].Value, &upstreams); err != nil {
		f.Events.Emit(event.RowUnreadable, event.Subject{Detail: page.Rows[0].String()})
		return nil
	}
	if held, err := fingerprint(upstreams); err != nil || held != expected {
		return err
	}
	list := make([]target.Instance, 0, len(upstreams))
	for _, u := range upstreams {
		info := target.Instance{
			ID: u.ID, Service: u.Service, Address: u.Address, FailureDomain: u.Domain, Slots: u.Slots,
			Leaving: u.Leaving, Reclaimable: u.Reclaimable, Started: u.Started,
		}
		// A writer of an older build passes on entries with defects.
		if defect := info.Defect(); defect != "" {
			f.Events.Emit(event.RowUnreadable, event.Subject{Upstream: u.ID, Detail: writer.String() + ": " + string(defect)})
			continue
		}
		list = append(list, info)
	}
	f.Roster.Replace(list)
	f.applied = expected
	return nil
}
