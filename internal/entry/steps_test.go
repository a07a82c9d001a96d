package entry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodpond/internal/sample"
)

// slowWriter needs one second for each write, like a connection to a trainer
// that reads slowly.
type slowWriter struct {
	got bytes.Buffer
}

// Write implements io.Writer.
func (s *slowWriter) Write(line []byte) (int, error) {
	time.Sleep(time.Second)
	return s.got.Write(line)
}

// A trainer reads samples so slowly that the last ones would arrive long after
// their staleness was validated. It receives the first samples and requests the
// rest with its next pull.
func TestSlowTrainerGetsNoStaleSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		samples := make([]sample.Sample, 20)
		for i := range samples {
			samples[i].Number = int64(i + 1)
		}
		trainer := &slowWriter{}
		began := time.Now()
		sent := sendSamples(trainer, samples)
		if took := time.Since(began); took > sendTimeout+time.Second {
			t.Errorf("sending the samples took %s", took)
		}
		lines := strings.Count(trainer.got.String(), "\n")
		if len(sent) != lines || lines == 0 || lines == len(samples) {
			t.Errorf("%d lines, %d sent", lines, len(sent))
		}
	})
}
