package eventstream

import "golang.org/x/sync/semaphore"

const (
	// smallBytes is what each stream may hold of an event without a reservation. Proper events have a few hundred bytes.
	smallBytes = 64 << 10
	// copies is how many copies of its bytes a reader holds of an event until it is complete: the line, the event and
	// its fields.
	copies = 3
)

// Memory bounds what the streams of a process hold at a time of events that are not small. It answers upstreams that write
// without end on many streams at once: maxEventBytes bounds each stream alone. It is safe for concurrent use; nil sets
// no bound.
type Memory struct{ left *semaphore.Weighted }

// NewMemory returns a memory of a number of bytes.
func NewMemory(bytes int64) *Memory { return &Memory{left: semaphore.NewWeighted(bytes)} }

// reservation is a part of a memory. It is not safe for concurrent use.
type reservation struct {
	memory *Memory
	held   int64
}

// growTo makes the reservation suffice for a number of bytes, and reports whether there is memory for them.
func (r *reservation) growTo(bytes int64) bool {
	more := bytes - smallBytes - r.held
	if r.memory == nil || more <= 0 {
		return true
	}
	if !r.memory.left.TryAcquire(more) {
		return false
	}
	r.held += more
	return true
}

// release gives the reservation back.
func (r *reservation) release() {
	if r.held > 0 {
		r.memory.left.Release(r.held)
		r.held = 0
	}
}
