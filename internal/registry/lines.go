package registry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// objectAssembler joins the lines of a JSON object that arrives indented. If each of its lines were taken for a broken
// line, every node would call for the full list.
type objectAssembler struct{ buffer []byte }

// addLine adds a line and reports whether the buffer is complete. A complete buffer is an object, bytes that cannot
// become an object, or a single empty line. After the first line, only lines that end with a brace are tried as the end
// of an object; trying every line would take time quadratic in the length of the list.
func (a *objectAssembler) addLine(line []byte) (object []byte, complete bool) {
	isFirstLine := len(a.buffer) == 0
	a.buffer = append(a.buffer, line...)
	if len(line) > 0 && len(a.buffer) <= maxLineBytes {
		if !isFirstLine && line[len(line)-1] != '}' || isIncompleteObject(a.buffer) {
			return nil, false
		}
	}
	object = a.buffer
	a.buffer = nil
	return object, true
}

// isIncompleteObject reports whether raw may be the beginning of an object.
func isIncompleteObject(raw []byte) bool {
	var value json.RawMessage
	return errors.Is(json.NewDecoder(bytes.NewReader(raw)).Decode(&value), io.ErrUnexpectedEOF)
}

// readLine returns the next line without surrounding white space. A line of more than maxLineBytes is an error.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		fragment, err := reader.ReadSlice('\n')
		line = append(line, fragment...)
		switch {
		case err == nil:
			return bytes.TrimSpace(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > maxLineBytes:
			return nil, errors.New("line is too long")
		}
	}
}
