package engine

import (
	"context"
	"testing"

	"dogwoodpond/internal/dial/dialtest"
)

// Guards against heads of engines without end.
func TestHeadsWithoutEnd(t *testing.T) {
	client := newTestClient()
	dialtest.CheckHeadsWithoutEnd(t, func(ctx context.Context, address string) error {
		_, err := client.LoadReport(ctx, address)
		return err
	})
	dialtest.CheckHeadsWithoutEnd(t, func(ctx context.Context, address string) error {
		return client.Stream(ctx, address, CompletionRequest{RequestID: "q"}, func(CompletionChunk) error { return nil })
	})
}

// Guards against bytes that are no answer, and pass for an answer of an engine.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	dialtest.CheckMalformedHeads(t, "", "{}", func(t *testing.T, address string) error {
		_, err := newTestClient().LoadReport(t.Context(), address)
		return err
	})
	dialtest.CheckMalformedHeads(t, "", "data: [DONE]\n\n", func(t *testing.T, address string) error {
		return newTestClient().Stream(t.Context(), address, CompletionRequest{RequestID: "q"}, func(CompletionChunk) error { return nil })
	})
	dialtest.CheckMalformedHeads(t, "", "", func(t *testing.T, address string) error {
		return newTestClient().Order(t.Context(), address, Order{ID: "o", Epoch: 1})
	})
}
