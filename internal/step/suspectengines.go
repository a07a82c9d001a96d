package step

import (
	"slices"
	"sync"

	"dogwoodpond/internal/target"
)

// suspectEngines holds the engines that run items under suspicion. It is safe for concurrent use.
type suspectEngines struct {
	mu sync.Mutex
	// items holds the number of items under suspicion that each engine runs.
	items map[*target.Entry]int
	// last holds the engines that run the last attempt at an item, and get no other items meanwhile. The value is true if
	// the item may end other engines together with its own.
	last map[*target.Entry]bool
}

// add counts an item at an engine.
func (s *suspectEngines) add(e *target.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items, s.last = make(map[*target.Entry]int), make(map[*target.Entry]bool)
	}
	s.items[e]++
}

// addLast counts an item whose last attempt runs at an engine.
func (s *suspectEngines) addLast(e *target.Entry, mayEndSeveral bool) {
	s.add(e)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[e] = mayEndSeveral
}

// mayBeginLast reports whether the last attempt at an item may begin beside those that run.
func (s *suspectEngines) mayBeginLast(mayEndSeveral bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mayEndSeveral {
		return len(s.last) == 0
	}
	for _, otherMay := range s.last {
		if otherMay {
			return false
		}
	}
	return true
}

// remove removes an item that add counted.
func (s *suspectEngines) remove(e *target.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[e]--; s.items[e] == 0 {
		delete(s.items, e)
		delete(s.last, e)
	}
}

// has reports whether an engine runs an item under suspicion.
func (s *suspectEngines) has(e *target.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[e] > 0
}

// withoutLast returns the engines that may get other items.
func (s *suspectEngines) withoutLast(engines []*target.Entry) []*target.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.last) == 0 {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e *target.Entry) bool {
		_, last := s.last[e]
		return last
	})
}
