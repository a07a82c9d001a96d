package step

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/promptcache"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// promptLoad is a load of groups of eight items that share a prompt, played without a network.
type promptLoad struct {
	name    string
	engines int
	// speeds are those of the engines in turn, as multiples of the usual time.
	speeds []float64
	memory int
	// Each group has one of a number of prompts with this many tokens; one arrives at each interval.
	prompts, tokens int
	interval        time.Duration
	// restart and version are the intervals of restarts and loads of weights; 0 for none.
	restart, version time.Duration
	// wantLess is the factor by which fewer tokens must be read, and wantSame requires the same placement.
	wantLess float64
	wantSame bool
}

type promptRun struct {
	entry *target.Entry
	end   time.Time
}

// play returns the mean time of the groups and the number of tokens read, with or without the prompts.
func (l promptLoad) play(byPrompt bool) (mean time.Duration, read int) {
	const groups, groupItems, perMilli = 400, 8, 340.0
	random, start := rand.New(rand.NewPCG(1, 2)), time.Now()
	roster := target.NewRoster(event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()))
	sent, kept := promptManager(), promptManager()
	service := &route.Service{Name: "lm", Engine: &route.Engine{KVTokens: l.memory}}
	speeds := map[string]float64{}
	var running []promptRun
	// endUntil ends the items that are done by a time, and returns the next end.
	endUntil := func(now time.Time) (next time.Time) {
		var rest []promptRun
		for _, r := range running {
			if !r.end.After(now) {
				r.entry.End()
				continue
			}
			if rest = append(rest, r); next.IsZero() || r.end.Before(next) {
				next = r.end
			}
		}
		running = rest
		return next
	}
	total := time.Duration(0)
	for g := range groups {
		at := time.Duration(g) * l.interval
		arrived := start.Add(at)
		var list []target.Instance
		for i := range l.engines {
			info := target.Instance{ID: fmt.Sprint("e", i), Service: "lm", FailureDomain: "x", Slots: 8, Versions: map[string]int64{"m": 1}}
			offset := at + time.Duration(i)*370*time.Millisecond
			if l.restart > 0 {
				info.Started = int64(offset / l.restart)
			}
			if l.version > 0 {
				info.Versions["m"] = 1 + int64(offset/l.version)
			}
			speeds[info.ID] = l.speeds[i%len(l.speeds)]
			list = append(list, info)
		}
		roster.Replace(list)
		engines := roster.Upstreams("lm")
		item := promptItem(random.Uint64()%uint64(l.prompts)+2, l.tokens)
		last := arrived
		for range groupItems {
			now := arrived
			next := endUntil(now)
			p := newTestPool(engines, now)
			n := need{service: "lm", model: "m", minVersion: 1, domain: "x"}
			if byPrompt {
				if n.prompt = sent.promptNeed(item, service); !p.promptMatters(n) {
					n.prompt = nil
				}
			}
			e := place(p, n, nil, now)
			for e == nil {
				now = next
				next = endUntil(now)
				e = place(p, n, nil, now)
			}
			n.prompt.noteSent(e, n, now)
			truth := n
			truth.prompt = kept.promptNeed(item, service)
			truth.prompt.noteSent(e, truth, now)
			missing := truth.prompt.missing
			read += missing
			slow := speeds[e.Info().ID] * (1 + promptcache.RunningShare*float64(e.InFlight()))
			reading := time.Duration(float64(missing) / perMilli * speeds[e.Info().ID] * float64(time.Millisecond))
			n.prompt.noteReading(reading)
			unitTime := time.Duration(45 * slow * float64(time.Millisecond))
			e.NoteUnitTime(unitTime, now)
			e.Begin()
			end := now.Add(reading + 16*unitTime)
			running = append(running, promptRun{e, end})
			if end.After(last) {
				last = end
			}
		}
		total += last.Sub(arrived)
	}
	return total / groups, read
}

// Guards against placement by prompts that serves groups later than plain placement, or that reads as
// many tokens again. Each case names its load.
func TestPlacementByPromptAgainstPlain(t *testing.T) {
	even, uneven := []float64{1}, []float64{0.7, 1, 1.7, 2.1}
	for _, l := range []promptLoad{
		{name: "many groups, few engines", engines: 4, speeds: even, memory: 200_000, prompts: 24, tokens: 20_000, interval: 500 * time.Millisecond, wantLess: 1.2},
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
			byPrompt, byPromptRead := l.play(true)
			t.Logf("group time plain %s, by prompt %s; tokens read %d, %d", plain.Round(time.Millisecond), byPrompt.Round(time.Millisecond), plainRead, byPromptRead)
			// Items of equal cost go to other engines, by which the times differ a little.
			if byPrompt > plain+plain/500 || byPromptRead > plainRead || l.wantSame && (byPrompt != plain || byPromptRead != plainRead) {
				t.Errorf("groups take %s and %d tokens, under plain placement %s and %d", byPrompt, byPromptRead, plain, plainRead)
			}
			if float64(byPromptRead)*l.wantLess > float64(plainRead) {
				t.Errorf("%d tokens are read, under plain placement %d", byPromptRead, plainRead)
			}
		})
	}
}
