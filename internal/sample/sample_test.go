package sample

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

func definition(groups, samples int) Definition {
	d := Definition{Model: "berry-1", MaxTokens: 64}
	for g := range groups {
		d.Groups = append(d.Groups, Group{ID: string(rune('a' + g)), Prompt: "p", Samples: samples})
	}
	return d
}

func span(start, end int, version int64, upstream, incarnation string) Span {
	return Span{Start: start, End: end, Version: version, Upstream: upstream, Incarnation: incarnation}
}

// Engines that restart or load other weights in mid-stream misreport versions in
// several ways. A trainer that used such a sample would weigh its tokens by a
// policy that did not produce them.
func TestAttribute(t *testing.T) {
	cases := []struct {
		name  string
		spans []Span
		ok    bool
	}{
		{"one version", []Span{span(0, 8, 3, "e1", "i1")}, true},
		{"other weights in mid-stream", []Span{span(0, 4, 2, "e1", "i1"), span(4, 8, 3, "e1", "i1")}, true},
		{"resume on another engine with older weights", []Span{span(0, 4, 3, "e1", "i1"), span(4, 8, 2, "e2", "i2")}, true},
		{"no spans", nil, false},
		{"no version", []Span{span(0, 4, 2, "e1", "i1"), span(4, 8, 0, "e1", "i1")}, false},
		{"negative version", []Span{span(0, 8, -1, "e1", "i1")}, false},
		{"gap", []Span{span(0, 4, 2, "e1", "i1"), span(5, 8, 2, "e1", "i1")}, false},
		{"overlap", []Span{span(0, 4, 2, "e1", "i1"), span(3, 8, 2, "e1", "i1")}, false},
		{"empty span", []Span{span(0, 0, 2, "e1", "i1"), span(0, 8, 2, "e1", "i1")}, false},
		{"short", []Span{span(0, 7, 2, "e1", "i1")}, false},
		{"long", []Span{span(0, 9, 2, "e1", "i1")}, false},
		{"never published", []Span{span(0, 8, 4, "e1", "i1")}, false},
		{"restart within the sample", []Span{span(0, 4, 2, "e1", "i1"), span(4, 8, 2, "e1", "i2")}, false},
		{"restart after a span of another engine", []Span{span(0, 2, 2, "e1", "i1"), span(2, 4, 2, "e2", "i3"), span(4, 8, 2, "e1", "i2")}, false},
		{"version decreases", []Span{span(0, 4, 3, "e1", "i1"), span(4, 8, 2, "e1", "i1")}, false},
		{"version decreases after a span of another engine", []Span{span(0, 2, 3, "e1", "i1"), span(2, 4, 2, "e2", "i2"), span(4, 8, 2, "e1", "i1")}, false},
		{"no engine", []Span{span(0, 8, 3, "", "i1")}, false},
		{"no incarnation", []Span{span(0, 8, 3, "e1", "")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := CheckAttribution(Slot{Group: "g"}, 8, c.spans, 3)
			if c.ok != (err == nil) {
				t.Fatalf("attributable is %v, want %v: %v", err == nil, c.ok, err)
			}
			if err != nil && !fault.Is[*fault.SampleUnattributable](err) {
				t.Fatalf("failure is %v", err)
			}
		})
	}
}

// New weights are published every few minutes while samples wait for the trainer.
// A sample past the contract's bound would train it on an outdated policy.
func TestStalenessBound(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name         string
		bound        StalenessBound
		oldest       int64
		supersession Supersession
		now          time.Duration
		fresh        bool
	}{
		{"newest version has no age", StalenessBound{Versions: 0, Age: time.Second}, 5, Supersession{Latest: 5}, time.Hour, true},
		{"at the bound in versions", StalenessBound{Versions: 2}, 3, Supersession{Latest: 5}, 0, true},
		{"past the bound in versions", StalenessBound{Versions: 2}, 2, Supersession{Latest: 5}, 0, false},
		{"at the bound in seconds", StalenessBound{Versions: 2, Age: time.Minute}, 4, Supersession{Latest: 5, At: start, Known: true}, time.Minute, true},
		{"past the bound in seconds", StalenessBound{Versions: 2, Age: time.Minute}, 4, Supersession{Latest: 5, At: start, Known: true}, time.Minute + 1, false},
		{"no bound in seconds", StalenessBound{Versions: 2}, 4, Supersession{Latest: 5, At: start, Known: true}, time.Hour, true},
		{"unknown time of supersession", StalenessBound{Versions: 2, Age: time.Minute}, 4, Supersession{Latest: 5}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.bound.Check(Slot{}, AgeOf(c.oldest, c.supersession, start.Add(c.now)))
			if c.fresh != (err == nil) {
				t.Fatalf("fresh is %v, want %v", err == nil, c.fresh)
			}
			if err != nil && !fault.Is[*fault.SampleStale](err) {
				t.Fatalf("failure is %v", err)
			}
		})
	}
}

// An owner is paused until its lease expires and another VM takes over the step.
// It then resumes with finished samples. If it could commit them, a slot would
// get two samples and the trainer would train on both.
func TestCommitByPreviousOwnerIsRefused(t *testing.T) {
	d := definition(2, 2)
	slots := d.Slots()
	p, err := NewProgress(d).SetOwner("s", 1)
	if err != nil {
		t.Fatal(err)
	}
	p, _, err = p.Commit("s", 1, []Sample{{Slot: slots[0]}})
	if err != nil {
		t.Fatal(err)
	}
	p, err = p.SetOwner("s", 2)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := p.Commit("s", 1, []Sample{{Slot: slots[1]}}); !fault.Is[*fault.LeaseLost](err) {
		t.Fatalf("commit by the previous owner: %v", err)
	}
	if _, err := p.SetOwner("s", 1); !fault.Is[*fault.LeaseLost](err) {
		t.Fatalf("claim by the previous owner: %v", err)
	}
	p, numbered, err := p.Commit("s", 2, []Sample{{Slot: slots[0]}, {Slot: slots[1]}})
	if err != nil || len(numbered) != 1 || numbered[0].Number != 2 || numbered[0].Slot != slots[1] {
		t.Fatalf("commit by the new owner: %+v, %v", numbered, err)
	}
	if p.Count() != 2 || p.Complete() {
		t.Fatalf("%d slots are filled", p.Count())
	}
}

// A sample becomes stale between its commit and its delivery. Its number must
// remain in the sequence, or the trainer would wait for it, and its slot must be
// generated again. A sample that the trainer acknowledged must remain.
func TestWithdraw(t *testing.T) {
	d := definition(1, 3)
	slots := d.Slots()
	p, numbered, err := NewProgress(d).Commit("s", 0, []Sample{{Slot: slots[0]}, {Slot: slots[1]}, {Slot: slots[2]}})
	if err != nil || !p.Complete() {
		t.Fatalf("%+v, %v", p, err)
	}
	p = p.Ack(1)
	if _, withdrawn := p.Withdraw(numbered[0]); withdrawn {
		t.Fatal("an acknowledged sample was withdrawn")
	}
	p, withdrawn := p.Withdraw(numbered[1])
	if !withdrawn || p.Has(1) || p.Complete() {
		t.Fatal("the slot still has a sample")
	}
	if _, withdrawn := p.Withdraw(numbered[1].Tombstone()); withdrawn {
		t.Fatal("a tombstone was withdrawn")
	}
	p, replacement, err := p.Commit("s", 0, []Sample{{Slot: slots[1]}})
	if err != nil || len(replacement) != 1 || replacement[0].Number != 4 || !p.Complete() {
		t.Fatalf("commit of the replacement: %+v, %v", replacement, err)
	}
}

// A trainer acknowledges late or twice when it loses the replies. The
// acknowledged number must neither decrease nor exceed the committed one.
func TestAckIsMonotonic(t *testing.T) {
	p := Progress{Committed: 5}
	p = p.Ack(3)
	p = p.Ack(2)
	if p.Acked != 3 {
		t.Fatalf("acked is %d", p.Acked)
	}
	if p = p.Ack(9); p.Acked != 5 {
		t.Fatalf("acked is %d", p.Acked)
	}
	if err := p.CheckCursor(4); !fault.Is[*fault.BadRequest](err) {
		t.Fatalf("cursor before the acknowledged samples: %v", err)
	}
	if err := p.CheckCursor(5); err != nil {
		t.Fatal(err)
	}
}

// A trainer could not tell the slots of two groups with the same ID apart.
func TestCheckDefinition(t *testing.T) {
	d := definition(2, 2)
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	d.Groups[1].ID = d.Groups[0].ID
	var bad *fault.BadRequest
	if err := d.Check(); !errors.As(err, &bad) || bad.Field != "groups" {
		t.Fatalf("repeated group: %v", err)
	}
	if err := definition(2, 1025).Check(); !errors.As(err, &bad) {
		t.Fatalf("too many samples: %v", err)
	}
}
