package service

import (
	"context"
	"net/http"
	"testing"

	"dogwoodpond/internal/dial/dialtest"
)

// Guards against heads of plain services without end.
func TestHeadsWithoutEnd(t *testing.T) {
	client := NewClient()
	dialtest.CheckHeadsWithoutEnd(t, func(ctx context.Context, address string) error {
		_, _, err := client.Do(ctx, address, Call{RequestID: "q", Method: http.MethodGet, Path: "/"})
		return err
	})
}

// Guards against bytes that are no answer, and pass for an answer of a plain service.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	dialtest.CheckMalformedHeads(t, "X-Request-Id: q\r\n", "body", func(t *testing.T, address string) error {
		_, _, err := NewClient().Do(t.Context(), address, Call{RequestID: "q", Method: http.MethodGet, Path: "/"})
		return err
	})
}
