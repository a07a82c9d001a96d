package promptcache

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against lists that any caller may send: each one gives the parts or an error, and the error
// tells nothing of the list.
func TestParse(t *testing.T) {
	long := strings.TrimSuffix(strings.Repeat("a:1,", MaxParts+1), ",")
	for _, c := range []struct {
		list   string
		tokens int
		want   Prompt
	}{
		{"1f:260,ffffffffffffffff:16", 276, Prompt{{0x1f, 260}, {1<<64 - 1, 16}}},
		{"1f:260, 2:16", 0, Prompt{{0x1f, 260}, {2, 16}}},
		{"1f:260,2:16", 270, nil},
		{"", 0, nil}, {",", 0, nil}, {"1f", 0, nil}, {":5", 0, nil}, {"1f:", 0, nil}, {"secret:5", 0, nil}, {"1f:5,", 0, nil},
		{"1f:0", 0, nil}, {"1f:-1", 0, nil}, {"1f:+1", 0, nil}, {"1f:1e3", 0, nil}, {"1:2:3", 0, nil},
		{"1f:5,1F:5", 0, nil},
		{"1f:99999999999999999999", 0, nil}, {fmt.Sprint("1f:", MaxPromptTokens+1), 0, nil}, {"10000000000000000:5", 0, nil},
		{long, 0, nil}, {"1f:" + strings.Repeat("0", maxListBytes) + "5", 0, nil},
	} {
		got, err := Parse("header", c.list, c.tokens)
		if !slices.Equal(got, c.want) || (err == nil) != (c.want != nil) {
			t.Errorf("Parse(%.40q) = %v, %v", c.list, got, err)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("the error contains a part of the list: %v", err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("1f:260,2:16", 276)
	f.Fuzz(func(t *testing.T, list string, tokens int) {
		prompt, err := Parse("header", list, tokens)
		if err == nil && (len(prompt) == 0 || len(prompt) > MaxParts || prompt.Tokens() > MaxPromptTokens) {
			t.Errorf("accepted %d parts with %d tokens", len(prompt), prompt.Tokens())
		}
	})
}

func prompt(ids ...uint64) Prompt {
	var p Prompt
	for _, id := range ids {
		p = append(p, Part{ID: id, Tokens: 100})
	}
	return p
}

// Guards against hits that an engine doesn't have: after a restart, a load of weights or an eviction,
// for a part after other parts, and for the part that belongs to one request.
func TestKept(t *testing.T) {
	engine := Engine{Upstream: "e1", Started: 1, Model: "m", Version: 5}
	restarted, loaded, other := engine, engine, engine
	restarted.Started, loaded.Version, other.Upstream = 2, 6, "e2"
	for _, c := range []struct {
		name   string
		engine Engine
		ask    Prompt
		free   int
		want   int
	}{
		{"all shared parts", engine, prompt(1, 2, 9), 1000, 200},
		{"the request's own part isn't shared", engine, prompt(1, 2, 3), 1000, 200},
		{"another part first", engine, prompt(7, 2, 9), 1000, 0},
		{"the first part only", engine, prompt(1, 7, 9), 1000, 100},
		{"later parts yield before the earlier ones", engine, prompt(1, 2, 9), 100, 100},
		{"no memory beside what runs", engine, prompt(1, 2, 9), -50, 0},
		{"a restart", restarted, prompt(1, 2, 9), 1000, 0},
		{"a load", loaded, prompt(1, 2, 9), 1000, 0},
		{"another engine", other, prompt(1, 2, 9), 1000, 0},
	} {
		table := NewTable(DefaultMaxBytes)
		table.NoteRead(engine, prompt(1, 2, 3), 1000)
		if got := table.Kept(c.engine, c.ask, c.free); got != c.want {
			t.Errorf("%s: %d tokens are kept, want %d", c.name, got, c.want)
		}
	}
}

// Guards against an answer of an earlier incarnation or version that arrives late and replaces what is
// known of the later one.
func TestLateAnswerIsIgnored(t *testing.T) {
	table := NewTable(DefaultMaxBytes)
	engine := Engine{Upstream: "e1", Started: 2, Model: "m", Version: 6}
	table.NoteRead(engine, prompt(1, 2), 1000)
	earlier := engine
	earlier.Version = 5
	table.NoteRead(earlier, prompt(3, 4), 1000)
	if got := table.Kept(engine, prompt(1, 2), 1000); got != 100 {
		t.Errorf("%d tokens are kept, want 100", got)
	}
}

// Guards against an order of eviction in which the prompt that most requests use yields.
func TestLeastRecentlyUsedPartsYield(t *testing.T) {
	table, engine := NewTable(DefaultMaxBytes), Engine{Upstream: "e1"}
	for id := range uint64(20) {
		table.NoteRead(engine, prompt(100, 0), 300)
		table.NoteRead(engine, prompt(id+1, 0), 300)
	}
	for id, want := range map[uint64]int{100: 100, 20: 100, 19: 100, 18: 0} {
		if got := table.Kept(engine, prompt(id, 0), 300); got != want {
			t.Errorf("prompt %d: %d tokens are kept, want %d", id, got, want)
		}
	}
}

// Guards against a table that outgrows its bound by many engines, many parts or many restarts, and
// against a bound that understates the memory.
func TestTableBound(t *testing.T) {
	const bound = 1 << 20
	random := rand.New(rand.NewPCG(1, 1))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := NewTable(bound)
	for i := range 40_000 {
		engine := Engine{Upstream: fmt.Sprint("e", random.IntN(300)), Started: int64(i / 10_000), Model: "m"}
		table.NoteRead(engine, prompt(random.Uint64(), random.Uint64(), random.Uint64()), 1<<20)
		if table.Bytes() > bound {
			t.Fatalf("the table takes %d bytes", table.Bytes())
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if took := int(after.HeapAlloc) - int(before.HeapAlloc); table.Bytes() < bound/2 || took > bound {
		t.Errorf("the table takes %d bytes by its own account, and %d of the heap", table.Bytes(), took)
	}
	runtime.KeepAlive(table)
}

// Guards against a measurement without sense that decides from then on.
func TestRateBounds(t *testing.T) {
	rate := InitialTokensPerMilli
	for range 1000 {
		rate = NextRate(rate, 5000, time.Nanosecond)
	}
	if rate > maxTokensPerMilli || NextRate(300, 10, time.Hour) != 300 || NextRate(300, 5000, -time.Second) != 300 {
		t.Errorf("the rate is %f", rate)
	}
}
