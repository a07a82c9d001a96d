package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
)

// show prints value as JSON, or calls table to print it for people, as --output says.
func (a *App) show(value any, table func(w io.Writer)) error {
	if *a.output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return outputError(encoder.Encode(value))
	}
	w := tabwriter.NewWriter(a.out, 0, 0, columnGap, ' ', 0)
	table(w)
	return outputError(w.Flush())
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

// outputError returns the error of a command whose output can't be written, or nil if err
// is nil.
func outputError(err error) error {
	if err != nil {
		return errors.WithStack(&fault.Internal{Where: "output"})
	}
	return nil
}

// row prints one row of a table. A write error is reported when the table is flushed.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// note prints a message for people, separate from the result.
func (a *App) note(format string, values ...any) {
	_, _ = fmt.Fprintf(a.notes, format+"\n", values...)
}

const timeFormat = "2006-01-02 15:04:05.000"

func formatTime(t time.Time) string { return t.UTC().Format(timeFormat) }

func stampTime(s event.Stamp) time.Time { return time.UnixMicro(s.WallMicros).UTC() }

// orDash returns text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
