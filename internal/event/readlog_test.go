package event

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A VM is gone when somebody complains, and its log is all that is left. What is read
// back must be what was recorded, to the last field.
func TestLogIsReadBack(t *testing.T) {
	var log bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, zapcore.AddSync(&log), zapcore.InfoLevel)
	r := NewRecorder("vm-1", 8, NewClock(time.Now), zap.New(core).With(zap.String("vm", "vm-1")))
	r.Emit(AttemptFailed, Subject{Request: "q", Account: "a", Upstream: "u", Attempt: 2, Detail: "no answer: \"reset\""})
	r.Emit(SamplesCommitted, Subject{Step: "s", Slot: "i", Lease: "l", Peer: "p", Revision: 4, Epoch: 5, Count: 6})
	text := "starting up\nvm-1 | " + log.String() + `{"event":"DWP-1303","stamp":"17`
	got, others, err := ReadLog(strings.NewReader(text))
	if err != nil || others != 2 || !reflect.DeepEqual(got, r.Since(Stamp{})) {
		t.Errorf("ReadLog = %+v, %d, %v; want %+v", got, others, err, r.Since(Stamp{}))
	}
}
