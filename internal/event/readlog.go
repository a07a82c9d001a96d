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

// maxLogLine bounds one line of a log in bytes; longer ones are passed over.
const maxLogLine = 1 << 20

// logLine is a line of a log as Recorder writes it.
type logLine struct {
	VM      string `json:"vm"`
	Event   string `json:"event"`
	Stamp   string `json:"stamp"`
	Message string `json:"msg"`
	Subject
}

// ReadLog returns the events in a log that processes wrote, in its order, and how
// many lines were no events: other programs may write to the same output, and a
// process that is killed breaks its last line off. It fails only when the log can't
// be read.
func ReadLog(log io.Reader) (records []Record, others int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		record, ok := parseLine(lines.Bytes())
		if !ok {
			others++
			continue
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return records, others, errors.WithStack(&fault.BadRequest{Field: "log", Problem: err.Error()})
	}
	return records, others, nil
}

// parseLine reads one line. What collectors put in front of it, for example the
// name of the VM, does not matter.
func parseLine(text []byte) (Record, bool) {
	var line logLine
	at := strings.IndexByte(string(text), '{')
	if at < 0 || json.Unmarshal(text[at:], &line) != nil {
		return Record{}, false
	}
	number, err := strconv.Atoi(strings.TrimPrefix(line.Event, "DWP-"))
	stamp, ok := ParseStamp(line.Stamp)
	if err != nil || !ok {
		return Record{}, false
	}
	return Record{Stamp: stamp, VM: line.VM, Number: Number(number), Name: line.Message, Subject: line.Subject}, true
}
