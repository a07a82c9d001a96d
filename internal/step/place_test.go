package step

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/target"
)

// A step is as late as its longest needed item. Carried groups come first whatever
// their length, then the longest.
func TestOrderOfItems(t *testing.T) {
	list := []Item{
		{Group: "short", Expected: 3}, {Group: "long", Expected: 4}, {Group: "carried", Expected: 1},
		{Group: "long", Expected: 90}, {Group: "short", Expected: 5},
	}
	if got := order(list, map[string]bool{"carried": true}); !slices.Equal(got, []int{2, 1, 3, 0, 4}) {
		t.Errorf("the order is %v", got)
	}
}

// The slots work a step off in the time of its longest item. Then a long item must not
// wait for the short ones of a group that is before its own.
func TestOrderFollowsTheSlots(t *testing.T) {
	list := []Item{
		{Group: "a", Expected: 90}, {Group: "a", Expected: 3}, {Group: "b", Expected: 4}, {Group: "b", Expected: 80},
		{Group: "carried", Expected: 1},
	}
	o := newOrders(list, map[string]bool{"carried": true})
	if got := o.with(2); !slices.Equal(got, []int{4, 0, 3, 2, 1}) {
		t.Errorf("with slots enough the order is %v", got)
	}
	if got := o.with(1); !slices.Equal(got, []int{4, 0, 1, 2, 3}) {
		t.Errorf("with too few slots the order is %v", got)
	}
}

func engineList(n, slots int) []*target.Entry {
	roster := target.NewRoster(event.NewRecorder("vm", 16, event.NewClock(time.Now), zap.NewNop()))
	var list []target.Instance
	for i := range n {
		list = append(list, target.Instance{ID: fmt.Sprint("e", i), Service: "lm", FailureDomain: "x", Slots: slots, Versions: map[string]int64{"m": 5}})
	}
	roster.Replace(list)
	return roster.Service("lm")
}

// Items spread over the engines, and none is put into an engine's own queue.
func TestPlacingSpreadsAndStopsAtTheSlots(t *testing.T) {
	engines, now := engineList(3, 4), time.Now()
	n := need{model: "m", minVersion: 5, domain: "x"}
	for range 12 {
		e := place(pool{engines: engines}, n, nil, now)
		if e == nil {
			t.Fatal("no engine though slots are free")
		}
		e.Begin()
		most, least := 0, 4
		for _, e := range engines {
			most, least = max(most, e.InFlight()), min(least, e.InFlight())
		}
		if most-least > 1 {
			t.Fatalf("one engine has %d items and another %d", most, least)
		}
	}
	if e := place(pool{engines: engines}, n, nil, now); e != nil {
		t.Error("an item was placed on a full engine")
	}
}

// Engines differ in pace, and what was measured during the last step is some seconds old
// when the next one starts. If it were forgotten, the longest item would as often as not
// run on a slow engine and make its step late by a third.
func TestLongItemsGoToFastEngines(t *testing.T) {
	engines, now := engineList(3, 4), time.Now()
	n := need{model: "m", minVersion: 5, domain: "x"}
	for range 20 {
		engines[0].NoteSpeed(57*time.Millisecond, now)
		engines[1].NoteSpeed(43*time.Millisecond, now)
		engines[2].NoteSpeed(43*time.Millisecond, now)
	}
	later := now.Add(time.Minute)
	for i := range 8 {
		e := place(pool{engines: engines}, n, nil, later)
		if e == engines[0] {
			t.Fatalf("item %d goes to the slow engine though a fast one has room", i+1)
		}
		e.Begin()
	}
	if e := place(pool{engines: engines}, n, nil, later); e != engines[0] {
		t.Error("the slow engine gets nothing when the others are full")
	}
}

func TestPlacingAvoidsWhatCannotServe(t *testing.T) {
	engines, now := engineList(5, 4), time.Now()
	n := need{model: "m", minVersion: 5, domain: "x"}
	engines[0].NoteSwap("m", now.Add(time.Second))
	engines[1].Failed(now)
	for i, speed := range []time.Duration{0, 0, 200, 50, 55} {
		engines[i].NoteSpeed(speed*time.Millisecond, now)
	}
	if e := place(pool{engines: engines}, n, nil, now); e != engines[3] {
		t.Errorf("chose %s", e.Info().ID)
	}
	if e := place(pool{engines: engines}, n, engines[3], now); e != engines[4] {
		t.Errorf("instead of the first choice: %s", e.Info().ID)
	}
	n.minVersion = 6
	if e := place(pool{engines: engines}, n, nil, now); e != nil {
		t.Errorf("%s has old weights", e.Info().ID)
	}
	engines[2].NoteVersion("m", 6)
	if e := place(pool{engines: engines}, n, nil, now); e != engines[2] {
		t.Error("a slow engine is better than none")
	}
}
