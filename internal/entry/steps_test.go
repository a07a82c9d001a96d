package entry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/sample"
)

// slowReader takes a second for each write.
type slowReader struct {
	got bytes.Buffer
}

// Write implements io.Writer.
func (s *slowReader) Write(line []byte) (int, error) {
	time.Sleep(time.Second)
	return s.got.Write(line)
}

// A trainer reads its samples so slowly that the last ones would arrive long
// after they were judged fresh. It gets the first ones, and asks for the others
// by its cursor.
func TestSlowTrainerGetsNoOldSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		samples := make([]sample.Sample, 20)
		for i := range samples {
			samples[i].Number = int64(i + 1)
		}
		trainer := &slowReader{}
		began := time.Now()
		sent := sendSamples(trainer, samples)
		if took := time.Since(began); took > sendTime+time.Second {
			t.Errorf("samples were sent for %s", took)
		}
		lines := strings.Count(trainer.got.String(), "\n")
		if len(sent) != lines || lines == 0 || lines == len(samples) {
			t.Errorf("%d lines, %d sent", lines, len(sent))
		}
	})
}
