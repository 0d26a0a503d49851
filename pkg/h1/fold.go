package h1

import (
	"bytes"
	"io"
)

// foldScanner looks for lines that begin with a blank in the heads that are read through it. The
// parser of the standard library takes such a line for a part of the field before it, which HTTP
// lets a proxy do or refuse. A field with a blank in front of its name would so disappear, and
// change another one.
type foldScanner struct {
	from io.Reader
	// inHead is set until the empty line that ends a head was read, and atLineStart if the last
	// byte ended a line.
	inHead, atLineStart bool
	// folded is set if a line of the head began with a blank.
	folded bool
}

// Read implements io.Reader.
func (s *foldScanner) Read(b []byte) (int, error) {
	n, err := s.from.Read(b)
	s.scan(b[:n])
	return n, err
}

// begin starts a head, of which some bytes are buffered already.
func (s *foldScanner) begin(buffered []byte) {
	s.inHead, s.atLineStart, s.folded = true, false, false
	s.scan(buffered)
}

func (s *foldScanner) scan(b []byte) {
	for s.inHead && len(b) > 0 {
		if s.atLineStart {
			s.folded = s.folded || b[0] == ' ' || b[0] == '\t'
			s.inHead = b[0] != '\r' && b[0] != '\n'
		}
		end := bytes.IndexByte(b, '\n')
		s.atLineStart = end >= 0
		if end < 0 {
			return
		}
		b = b[end+1:]
	}
}
