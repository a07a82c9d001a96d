package event

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// maxLogLine is the largest length of a line in bytes. A longer line ends the
// read with an error.
const maxLogLine = 1 << 20

// logLine is an event as Recorder writes it to the log.
type logLine struct {
	VM      string `json:"vm"`
	Event   string `json:"event"`
	Stamp   string `json:"stamp"`
	Message string `json:"msg"`
	Subject
}

// ReadLog returns the events in a log, in the order of the lines, and the number
// of lines that are not events: other programs may write to the same output, and
// the last line of a killed process may be truncated. It fails only if the log
// can't be read.
func ReadLog(log io.Reader) (records []Record, skipped int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		record, ok := parseLine(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return records, skipped, errors.WithStack(&fault.BadRequest{Field: "log", Problem: err.Error()})
	}
	return records, skipped, nil
}

// parseLine parses one line. It ignores a prefix added by a log collector, for
// example the name of the VM.
func parseLine(text []byte) (Record, bool) {
	var line logLine
	start := strings.IndexByte(string(text), '{')
	if start < 0 || json.Unmarshal(text[start:], &line) != nil {
		return Record{}, false
	}
	number, err := strconv.Atoi(strings.TrimPrefix(line.Event, "DWP-"))
	stamp, ok := ParseStamp(line.Stamp)
	if err != nil || !ok {
		return Record{}, false
	}
	return Record{Stamp: stamp, VM: line.VM, Number: Number(number), Name: line.Message, Subject: line.Subject}, true
}
