package promptcache

import (
	"container/list"
	"sync"
)

const (
	// partBytes is an upper estimate of the memory that one kept part takes in a table.
	partBytes = 256
	// engineBytes is an upper estimate of the memory that an engine takes without its parts.
	engineBytes = 768
	// DefaultMaxBytes bounds the table of a VM.
	DefaultMaxBytes = 2 << 20
)

// Engine identifies the contents of an engine's memory. A restart and a load of weights empty it.
type Engine struct {
	Upstream string
	// Started is the start of the incarnation in Unix milliseconds.
	Started int64
	Model   string
	// Version is the weight version.
	Version int64
}

// Table holds the parts that each engine keeps as far as this VM has sent them. It is safe for
// concurrent use.
type Table struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	// engines holds the contents by upstream and model. An upstream has one of them for a model.
	engines map[engineKey]*contents
	// recent has the engines, the most recently used one first.
	recent *list.List
}

type engineKey struct{ upstream, model string }

// contents are the parts that one engine keeps.
type contents struct {
	engine Engine
	// parts has the parts, the most recently used one first; byChain finds them by the IDs of a part
	// and all before it, since a part counts only after these.
	parts   *list.List
	byChain map[uint64]*list.Element
	tokens  int
	element *list.Element
}

type keptPart struct {
	chain  uint64
	tokens int
}

// NewTable returns an empty table that takes at most maxBytes.
func NewTable(maxBytes int) *Table {
	return &Table{maxBytes: maxBytes, engines: make(map[engineKey]*contents), recent: list.New()}
}

// Kept returns how many of a prompt's first tokens an engine keeps, 0 if they were of another
// incarnation or weight version. freeTokens is the engine's memory less what runs there; parts that
// don't fit into it have been evicted.
func (t *Table) Kept(engine Engine, prompt Prompt, freeTokens int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.engines[engine.key()]
	if c == nil || c.engine != engine {
		return 0
	}
	t.shrink(c, freeTokens)
	kept := 0
	chain := uint64(chainStart)
	for _, part := range prompt {
		chain = chainOf(chain, part)
		if _, ok := c.byChain[chain]; !ok {
			break
		}
		kept += part.Tokens
	}
	return kept
}

// NoteRead records that an engine has read a prompt, and so keeps its shared parts. freeTokens is
// the engine's memory less what runs there; the least recently used parts beyond it are evicted.
// Knowledge of an earlier incarnation or weight version is dropped; an older one than the known is ignored.
func (t *Table) NoteRead(engine Engine, prompt Prompt, freeTokens int) {
	shared := prompt.Shared()
	if len(shared) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contentsOf(engine)
	if c == nil {
		return
	}
	// The later parts of a prompt are of no use without the earlier ones, which therefore are used last.
	chains := make([]uint64, 0, len(shared))
	chain := uint64(chainStart)
	for _, part := range shared {
		chain = chainOf(chain, part)
		chains = append(chains, chain)
	}
	for i := len(shared) - 1; i >= 0; i-- {
		t.use(c, chains[i], shared[i].Tokens)
	}
	t.shrink(c, freeTokens)
	for t.bytes > t.maxBytes {
		t.evictOne()
	}
}

// contentsOf returns the contents of an engine, which become the most recently used ones; nil if those
// of a newer incarnation or weight version are known.
func (t *Table) contentsOf(engine Engine) *contents {
	c := t.engines[engine.key()]
	if c != nil && c.engine.isNewer(engine) {
		return nil
	}
	if c != nil && c.engine != engine {
		t.forget(c)
		c = nil
	}
	if c == nil {
		c = &contents{engine: engine, parts: list.New(), byChain: make(map[uint64]*list.Element)}
		c.element = t.recent.PushFront(c)
		t.engines[engine.key()] = c
		t.bytes += engineBytes
	}
	t.recent.MoveToFront(c.element)
	return c
}

// use makes a part the most recently used one of an engine.
func (t *Table) use(c *contents, chain uint64, tokens int) {
	if element, ok := c.byChain[chain]; ok {
		c.parts.MoveToFront(element)
		return
	}
	c.byChain[chain] = c.parts.PushFront(keptPart{chain, tokens})
	c.tokens += tokens
	t.bytes += partBytes
}

// shrink evicts the least recently used parts of an engine until the others fit.
func (t *Table) shrink(c *contents, freeTokens int) {
	for c.tokens > max(freeTokens, 0) {
		t.evictPart(c)
	}
}

// evictOne evicts the least recently used part of the least recently used engine, or that engine if it
// has no part.
func (t *Table) evictOne() {
	c := t.recent.Back().Value.(*contents)
	if c.parts.Len() == 0 {
		t.forget(c)
		return
	}
	t.evictPart(c)
}

func (t *Table) evictPart(c *contents) {
	part := c.parts.Remove(c.parts.Back()).(keptPart)
	delete(c.byChain, part.chain)
	c.tokens -= part.tokens
	t.bytes -= partBytes
}

func (t *Table) forget(c *contents) {
	t.bytes -= engineBytes + c.parts.Len()*partBytes
	t.recent.Remove(c.element)
	delete(t.engines, c.engine.key())
}

// Bytes returns an upper estimate of the memory that the table takes.
func (t *Table) Bytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

func (e Engine) key() engineKey { return engineKey{e.Upstream, e.Model} }

// isNewer reports whether an engine's contents are of a later incarnation or weight version than
// those of other, which are of the same upstream and model.
func (e Engine) isNewer(other Engine) bool {
	if e.Started != other.Started {
		return e.Started > other.Started
	}
	return e.Version > other.Version
}

// chainStart and chainPrime are the parameters of the 64-bit FNV-1a hash.
const (
	chainStart = 14695981039346656037
	chainPrime = 1099511628211
)

// chainOf returns the hash of a part and of all parts before it, whose hash is before.
func chainOf(before uint64, part Part) uint64 {
	hash := before
	for shift := 0; shift < 64; shift += 8 {
		hash = (hash ^ part.ID>>shift&0xff) * chainPrime
	}
	return (hash ^ uint64(part.Tokens)) * chainPrime
}

// SharedKey returns a hash of the parts that other requests can share.
func (p Prompt) SharedKey() uint64 {
	chain := uint64(chainStart)
	for _, part := range p.Shared() {
		chain = chainOf(chain, part)
	}
	return chain
}
