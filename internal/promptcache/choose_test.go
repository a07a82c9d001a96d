package promptcache

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// load is a load of groups of items that share a prompt, played without a network.
type load struct {
	name string
	// engines have the speeds in turn, and slots for eight items each.
	engines int
	speeds  []float64
	memory  int
	// prompts are shared by groups of eight items, of which one arrives at each interval.
	prompts, tokens int
	interval        time.Duration
	// restart and version are the intervals of restarts and loads of engines; 0 for none.
	restart, version time.Duration
	// wantLess and wantSame are what aware placement must reach: fewer tokens read by this factor, or
	// the same placement.
	wantLess float64
	wantSame bool
}

type modelEngine struct {
	id      Engine
	speed   float64
	ends    []time.Duration
	content *Table
}

// play returns the mean time of the groups and the tokens read.
func (l load) play(aware bool) (mean time.Duration, read int) {
	const groups, groupItems, output, rate = 400, 8, 1100, 340.0
	const tokenTime = 650 * time.Microsecond
	random := rand.New(rand.NewPCG(1, 2))
	engines := make([]*modelEngine, l.engines)
	for i := range engines {
		engines[i] = &modelEngine{id: Engine{Upstream: fmt.Sprint("e", i), Model: "m"}, speed: l.speeds[i%len(l.speeds)], content: NewTable(64 << 20)}
	}
	known, measured, total := NewTable(DefaultMaxBytes), InitialTokensPerMilli, time.Duration(0)
	for g := range groups {
		now := time.Duration(g) * l.interval
		for k, e := range engines {
			offset := now + time.Duration(k)*37*time.Millisecond
			if l.restart > 0 {
				e.id.Started = int64(offset / l.restart)
			}
			if l.version > 0 {
				e.id.Version = int64(offset / l.version)
			}
		}
		shared, last := Part{ID: random.Uint64()%uint64(l.prompts) + 1, Tokens: l.tokens}, time.Duration(0)
		for i := range groupItems {
			r := Request{Prompt: Prompt{shared, {ID: uint64(g*groupItems + i + 1_000_000), Tokens: 16}}, OutputTokens: output}
			list := make([]Candidate, len(engines))
			for k, e := range engines {
				var running []time.Duration
				for _, end := range e.ends {
					if end > now {
						running = append(running, end)
					}
				}
				e.ends = running
				list[k] = Candidate{Engine: e.id, TokenTime: tokenTime, Slowdown: e.speed, Running: len(running), RunningTokens: len(running) * (output + 16), MemoryTokens: l.memory}
				if len(running) >= 8 {
					list[k].Wait = time.Hour
				}
			}
			chosen := (*Table).Choose(NewTable(DefaultMaxBytes), r, list, measured)
			if aware {
				chosen = known.Choose(r, list, measured)
			}
			c, e := list[chosen], engines[chosen]
			start := now
			if len(e.ends) >= 8 {
				start = e.ends[0]
			}
			missing := e.content.Missing(r, c)
			e.content.NoteRead(e.id, r.Prompt, c.FreeTokens(r))
			known.NoteRead(e.id, r.Prompt, c.FreeTokens(r))
			took := time.Duration(float64(missing) / rate * e.speed * float64(time.Millisecond))
			measured = NextRate(measured, missing, took)
			read += missing
			end := start + took + time.Duration(float64(output)*float64(tokenTime)*e.speed*(1+RunningShare*float64(c.Running)))
			e.ends = append(e.ends, end)
			last = max(last, end-now)
		}
		total += last
	}
	return total / groups, read
}

// Guards against placement by prompts that serves groups later than plain placement, or that reads as
// many tokens again. Each case names its load.
func TestChooseAgainstPlainPlacement(t *testing.T) {
	even, uneven := []float64{1}, []float64{0.7, 1, 1.7, 2.1}
	for _, l := range []load{
		{name: "many groups, few engines", engines: 4, speeds: even, memory: 200_000, prompts: 24, tokens: 20_000, interval: 250 * time.Millisecond, wantLess: 1.2},
		{name: "one hot prompt", engines: 8, speeds: even, memory: 60_000, prompts: 1, tokens: 20_000, interval: 200 * time.Millisecond},
		{name: "memory for half of the parts", engines: 8, speeds: even, memory: 100_000, prompts: 60, tokens: 20_000, interval: 300 * time.Millisecond, wantLess: 1.2},
		{name: "engines restart", engines: 8, speeds: even, memory: 200_000, prompts: 30, tokens: 20_000, interval: 300 * time.Millisecond, restart: 10 * time.Second, wantLess: 1.2},
		{name: "engines load versions", engines: 8, speeds: even, memory: 200_000, prompts: 30, tokens: 20_000, interval: 300 * time.Millisecond, version: 10 * time.Second, wantLess: 1.2},
		{name: "speeds 1 to 3 apart", engines: 8, speeds: uneven, memory: 200_000, prompts: 30, tokens: 20_000, interval: 300 * time.Millisecond},
		{name: "prompts of 200 tokens", engines: 8, speeds: even, memory: 200_000, prompts: 30, tokens: 200, interval: 300 * time.Millisecond, wantSame: true},
		{name: "prompts of 20 tokens", engines: 8, speeds: uneven, memory: 200_000, prompts: 30, tokens: 20, interval: 300 * time.Millisecond, wantSame: true},
	} {
		t.Run(l.name, func(t *testing.T) {
			plain, plainRead := l.play(false)
			aware, awareRead := l.play(true)
			t.Logf("group time plain %s, by prompt %s; tokens read %d, %d", plain.Round(time.Millisecond), aware.Round(time.Millisecond), plainRead, awareRead)
			// Items of equal cost go to other engines, by which the times differ a little.
			if aware > plain+plain/500 || awareRead > plainRead || l.wantSame && (aware != plain || awareRead != plainRead) {
				t.Errorf("groups take %s and %d tokens, under plain placement %s and %d", aware, awareRead, plain, plainRead)
			}
			if float64(awareRead)*l.wantLess > float64(plainRead) {
				t.Errorf("%d tokens are read, under plain placement %d", awareRead, plainRead)
			}
		})
	}
}

// Guards against a hit that waits while another engine could start, and against a measurement without
// sense that decides from then on.
func TestChooseWeighsTheWait(t *testing.T) {
	table := NewTable(DefaultMaxBytes)
	r := Request{Prompt: Prompt{{1, 20_000}, {2, 16}}, OutputTokens: 1000}
	list := []Candidate{
		{Engine: Engine{Upstream: "miss"}, TokenTime: time.Millisecond, Slowdown: 1, MemoryTokens: 60_000},
		{Engine: Engine{Upstream: "hit"}, TokenTime: time.Millisecond, Slowdown: 1, MemoryTokens: 60_000},
	}
	table.NoteRead(list[1].Engine, r.Prompt, 60_000)
	if got := table.Choose(r, list, 340); got != 1 {
		t.Errorf("a hit loses to a miss without a difference: %d", got)
	}
	list[1].Wait = 100 * time.Millisecond
	if got := table.Choose(r, list, 340); got != 0 {
		t.Errorf("a hit that waits longer than the reading takes wins: %d", got)
	}
	if got := table.Choose(r, nil, 340); got != -1 {
		t.Errorf("chose %d of no candidates", got)
	}
	rate := 300.0
	for range 1000 {
		rate = NextRate(rate, 5000, time.Nanosecond)
	}
	if rate > maxTokensPerMilli || NextRate(300, 10, time.Hour) != 300 {
		t.Errorf("the rate is %f", rate)
	}
}
