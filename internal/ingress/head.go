package ingress

import "bytes"

// headScanner finds the end of a request's head and counts its bytes and lines.
type headScanner struct {
	bytes, lines int
	// lineBytes is the number of bytes of the current line so far, and lineReturn is true if they are a
	// carriage return alone.
	lineBytes  int
	lineReturn bool
	// begun is true after a line that is not empty. Empty lines before it don't end the head.
	begun bool
}

// scan takes the next bytes. It returns how many of them belong to the head, and whether the head has ended.
func (s *headScanner) scan(p []byte) (n int, ended bool) {
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.addToLine(p[n:])
			return len(p), false
		}
		s.addToLine(p[n : n+end])
		n += end + 1
		s.bytes++
		s.lines++
		empty := s.lineBytes == 0 || s.lineReturn
		s.lineBytes, s.lineReturn = 0, false
		if empty && s.begun {
			return n, true
		}
		s.begun = s.begun || !empty
	}
	return n, false
}

func (s *headScanner) addToLine(p []byte) {
	s.lineReturn = len(p) == 0 && s.lineReturn || len(p) == 1 && s.lineBytes == 0 && p[0] == '\r'
	s.lineBytes += len(p)
	s.bytes += len(p)
}
