package frontend

import (
	"bytes"
	"strconv"
)

const (
	// maxHeaderBytes limits the head of a request.
	maxHeaderBytes = 16 << 10
	// maxHeaderFields limits the fields of a head. A short field takes some hundred bytes once it is parsed.
	maxHeaderFields = 100
	// maxFramingField is the part of a field that is kept to find out where the body ends.
	maxFramingField = 64
)

// requestPart is the part of a request that a headScanner expects.
type requestPart uint8

const (
	partHead requestPart = iota
	partBody
	partUnknown // it can't be told where the request ends
)

// headScanner finds the heads in the bytes of a client's connection and limits them. The HTTP library has a limit of bytes only,
// and builds up a head while it still arrives: the fields of one head would take half a megabyte, on each connection whose
// client stops before the end.
//
// What it can't tell for certain it gives up: the connection is not to be kept after that request.
type headScanner struct {
	part          requestPart
	limitExceeded bool // the current head is too large; final
	headBytes     int
	lines         int  // of the current head, with the request line
	hasLength     bool // the current head has a length
	ambiguous     bool // the current head does not tell where its request ends
	bodyLeft      int64
	line          [maxFramingField]byte // start of the current line
	lineLength    int                   // of the whole line
}

// scan follows bytes that were received, and returns how many of them may be read by the HTTP library. That is less than all
// only if a head exceeds a limit.
func (s *headScanner) scan(b []byte) (allowed int) {
	for allowed < len(b) && !s.limitExceeded {
		switch s.part {
		case partHead:
			allowed += s.scanLine(b[allowed:])
		case partBody:
			n := min(s.bodyLeft, int64(len(b)-allowed))
			allowed += int(n)
			s.bodyLeft -= n
			if s.bodyLeft == 0 {
				s.part = partHead
			}
		case partUnknown:
			return len(b)
		}
	}
	return allowed
}

// scanLine follows the bytes of a head up to the end of a line, and returns how many it has followed.
func (s *headScanner) scanLine(b []byte) int {
	end := bytes.IndexByte(b, '\n')
	n := end + 1
	if end < 0 {
		n = len(b)
	}
	if s.headBytes+n > maxHeaderBytes {
		s.limitExceeded = true
		return 0
	}
	s.headBytes += n
	if s.lineLength < len(s.line) {
		copy(s.line[s.lineLength:], b[:n])
	}
	s.lineLength += n
	if end >= 0 {
		s.endLine()
	}
	return n
}

// endLine processes a whole line.
func (s *headScanner) endLine() {
	line := bytes.TrimSuffix(s.line[:min(s.lineLength, len(s.line))], []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	isWhole := s.lineLength <= len(s.line)
	s.lineLength = 0
	switch {
	case len(line) == 0 && s.lines == 0: // an empty line before a request is allowed
	case len(line) == 0:
		s.endHead()
	default:
		s.lines++
		s.limitExceeded = s.lines > 1+maxHeaderFields
		if s.lines > 1 {
			s.processField(line, isWhole)
		}
	}
}

// processField takes the length of the body from a field of the head.
func (s *headScanner) processField(line []byte, isWhole bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ' || line[0] == '\t': // continues the field before, which may be the length
		s.ambiguous = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.ambiguous = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		s.ambiguous = s.ambiguous || err != nil || length < 0 || !isWhole || s.hasLength && length != s.bodyLeft
		s.hasLength = true
		s.bodyLeft = length
	}
}

// endHead goes on with the body, or with the head of the next request.
func (s *headScanner) endHead() {
	switch {
	case s.ambiguous:
		s.part = partUnknown
	case s.bodyLeft > 0:
		s.part = partBody
	}
	s.headBytes = 0
	s.lines = 0
	s.hasLength = false
}
