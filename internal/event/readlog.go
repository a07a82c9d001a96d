package event

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/logsink"
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

// Log is the content of a log.
type Log struct {
	// Records are the events, in the order of the lines.
	Records []Record
	// Skipped counts the lines that are neither events nor counts of dropped lines: other programs
	// may write to the same output, and the last line of a killed process may be truncated.
	Skipped int
	// Dropped counts the lines that the process dropped because nobody read its output.
	Dropped int64
}

// ReadLog reads a log. It fails only if the log can't be read.
func ReadLog(log io.Reader) (content Log, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line, ok := parseLine(lines.Bytes())
		if ok && line.Message == logsink.DroppedMessage {
			content.Dropped += line.Count
			continue
		}
		record, isEvent := line.record()
		if !ok || !isEvent {
			content.Skipped++
			continue
		}
		content.Records = append(content.Records, record)
	}
	if err := lines.Err(); err != nil {
		return content, errors.WithStack(&fault.BadRequest{Field: "log", Problem: err.Error()})
	}
	return content, nil
}

// parseLine parses one line. It ignores a prefix added by a log collector, for
// example the name of the VM.
func parseLine(text []byte) (line logLine, ok bool) {
	start := strings.IndexByte(string(text), '{')
	return line, start >= 0 && json.Unmarshal(text[start:], &line) == nil
}

// record returns the event of a line; ok is false if the line is not an event.
func (l logLine) record() (r Record, ok bool) {
	number, err := strconv.Atoi(strings.TrimPrefix(l.Event, "DWP-"))
	stamp, ok := ParseStamp(l.Stamp)
	if err != nil || !ok {
		return Record{}, false
	}
	return Record{Stamp: stamp, VM: l.VM, Number: Number(number), Name: l.Message, Subject: l.Subject}, true
}
