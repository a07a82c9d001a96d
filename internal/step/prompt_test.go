package step

import (
	"testing"
	"time"

	"dogwoodpond/internal/promptcache"
	"dogwoodpond/internal/route"
	"dogwoodpond/internal/target"
)

// promptManager returns a manager that knows how many events a token gives.
func promptManager() *Manager {
	m := &Manager{prompts: newPromptKnowledge(nil)}
	m.eventRates.note("lm", 16, 1100)
	return m
}

func promptItem(prompt uint64, tokens int) *Item {
	return &Item{ExpectedTokens: 1100, Prompt: promptcache.Prompt{{ID: prompt, Tokens: tokens}, {ID: 1, Tokens: 16}}}
}

// Guards against a hit that outweighs what takes precedence, and against prompts that decide where they
// are too short or where the configuration or the item says nothing of them. Each case has four engines with
// eight slots, of which the second has read the prompt.
func TestPlaceByPrompt(t *testing.T) {
	service := &route.Service{Name: "lm", Engine: &route.Engine{KVTokens: 60_000}}
	const hit, other = 1, 0
	for _, c := range []struct {
		name    string
		tokens  int
		service *route.Service
		change  func(p *pool, hit *target.Entry, now time.Time)
		want    int
	}{
		{name: "a long prompt", tokens: 20_000, want: hit},
		{name: "one item more than elsewhere", tokens: 20_000, want: hit, change: func(_ *pool, e *target.Entry, _ time.Time) { e.Begin() }},
		{name: "five items more than elsewhere", tokens: 20_000, want: other, change: func(_ *pool, e *target.Entry, _ time.Time) {
			for range 5 {
				e.Begin()
			}
		}},
		{name: "a prompt of 200 tokens", tokens: 200, want: other},
		{name: "memory for less than the prompt", tokens: 59_990, want: other},
		{name: "unknown memory", tokens: 20_000, service: &route.Service{Name: "lm", Engine: &route.Engine{}}, want: other},
		{name: "a slow engine", tokens: 20_000, want: other, change: func(_ *pool, e *target.Entry, now time.Time) {
			for range 30 {
				e.NoteUnitTime(90*time.Millisecond, now)
			}
		}},
		{name: "a suspect engine", tokens: 20_000, want: other, change: func(_ *pool, e *target.Entry, now time.Time) { e.NoteFailure(now) }},
		{name: "another owner's engine", tokens: 20_000, want: other, change: func(p *pool, e *target.Entry, _ time.Time) { p.otherFirstSender[e] = true }},
		{name: "a load of weights", tokens: 20_000, want: other, change: func(_ *pool, e *target.Entry, _ time.Time) { e.NoteVersion("m", 6) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, engines, now := promptManager(), engineList(4, 8), time.Now()
			for _, e := range engines {
				e.NoteUnitTime(50*time.Millisecond, now)
			}
			if c.service == nil {
				c.service = service
			}
			n := need{service: "lm", model: "m", minVersion: 5, domain: "x", prompt: m.promptNeed(promptItem(7, c.tokens), c.service)}
			n.prompt.noteSent(engines[hit], n, now)
			p := newTestPool(engines, now)
			p.otherFirstSender = map[*target.Entry]bool{}
			if c.change != nil {
				c.change(&p, engines[hit], now)
			}
			if e := place(p, n, nil, now); e != engines[c.want] {
				t.Errorf("chose %s", e.Info().ID)
			}
		})
	}
}

// Guards against a ranking by prompt that leaves the engine which has just been given a group's first item,
// or that gives all items of a group to one engine.
func TestPromptRankingFollowsItsGroup(t *testing.T) {
	m, engines, now := promptManager(), engineList(4, 8), time.Now()
	for _, e := range engines {
		e.NoteUnitTime(50*time.Millisecond, now)
	}
	service := &route.Service{Name: "lm", Engine: &route.Engine{KVTokens: 60_000}}
	p, rankings := newTestPool(engines, now), make(promptRankings)
	used := map[*target.Entry]int{}
	for range 16 {
		n := need{service: "lm", model: "m", minVersion: 5, domain: "x", prompt: m.promptNeed(promptItem(7, 20_000), service)}
		e := rankings.get(n, p, now).best()
		n.prompt.noteSent(e, n, now)
		e.Begin()
		used[e]++
	}
	if len(used) < 2 || len(rankings) != 1 {
		t.Errorf("the group uses %d engines by %d rankings", len(used), len(rankings))
	}
}
