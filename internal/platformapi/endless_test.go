package platformapi

import (
	"context"
	"testing"

	"dogwoodpond/internal/dial/dialtest"
)

// Guards against heads of the platform's answers without end.
func TestHeadsWithoutEnd(t *testing.T) {
	dialtest.CheckHeadsWithoutEnd(t, func(ctx context.Context, address string) error {
		_, err := NewClient("http://"+address, newRecorder()).Get(ctx, "k")
		return err
	})
}

// Guards against bytes that are no answer, and pass for an answer of the platform.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	dialtest.CheckMalformedHeads(t, "", "{}", func(t *testing.T, address string) error {
		_, err := NewClient("http://"+address, newRecorder()).Get(t.Context(), "k")
		return err
	})
	dialtest.CheckMalformedHeads(t, "", "object", func(t *testing.T, address string) error {
		_, err := NewClient("http://"+address, newRecorder()).Fetch(t.Context(), "k")
		return err
	})
}
