package forward

import (
	"io"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// boundedBody reads the rest of an answer. It fails with *fault.BodyTooLarge once the rest is longer than its bound.
type boundedBody struct {
	io.ReadCloser
	// left is how many bytes may still be read.
	left int64
	// onEndless is called once if the rest is too long.
	onEndless func()
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, errors.WithStack(&fault.BodyTooLarge{Limit: maxAnswerBytes})
	}
	// One byte more than allowed shows that the rest is too long.
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if b.left -= int64(n); b.left >= 0 {
		return n, err
	}
	b.onEndless()
	return n - 1, errors.WithStack(&fault.BodyTooLarge{Limit: maxAnswerBytes})
}
