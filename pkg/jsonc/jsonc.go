// Package jsonc decodes JSON with comments strictly. It reports every fault of
// a file, each with its line and key: unknown and duplicate keys, wrong types,
// values out of range and bad durations.
package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// MaxFileBytes is the largest file that DecodeFile reads, in bytes.
const MaxFileBytes = 16 << 20

// Positions maps the keys of a file to their lines. A key is the full path of a value,
// such as "mesh.contacts[1]".
type Positions struct {
	file  string
	lines map[string]int
}

// Fault returns a fault at the given key, or at its nearest parent if the file
// does not have the key.
func (p *Positions) Fault(key, format string, args ...any) bundle.Fault {
	return bundle.Fault{File: p.file, Line: p.Line(key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// Has reports whether the file has the key.
func (p *Positions) Has(key string) bool {
	_, ok := p.lines[key]
	return ok
}

// Line returns the line of the key or of its nearest parent. It is 1 if the file has
// neither.
func (p *Positions) Line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

// DecodeFile decodes the named file into v, which must be a pointer to a struct. A file
// that is larger than MaxFileBytes or cannot be read gives one fault.
func DecodeFile(name string, v any) (*Positions, []bundle.Fault) {
	info, err := os.Stat(name)
	if err == nil && info.Size() > MaxFileBytes {
		err = fmt.Errorf("file has %d bytes, the limit is %d bytes", info.Size(), MaxFileBytes)
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		p := &Positions{file: name}
		return p, []bundle.Fault{p.Fault("", "read file: %v", err)}
	}
	return Decode(name, data, v)
}

// Decode decodes data into v, which must be a pointer to a struct; file is the name
// that faults carry. Valid keys are set even if other keys have faults.
func Decode(file string, data []byte, v any) (*Positions, []bundle.Fault) {
	p := &Positions{file: file, lines: make(map[string]int)}
	d := &decoder{positions: p, newlines: newlineOffsets(data)}
	if offset := excessDepthOffset(data); offset >= 0 {
		d.addFaultAt(d.lineAt(offset), "", "syntax: objects and lists are nested more than %d deep", maxDepth)
		return p, d.faults
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return p, []bundle.Fault{syntaxFault(file, err)}
	}
	d.decodeRoot(root, v)
	return p, d.faults
}

// syntaxPosition splits a syntax error of the parser into its line and its message.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column \d+: (.*)$`)

// syntaxFault turns a syntax error of the parser into a fault. An error without a
// position is reported at line 1.
func syntaxFault(file string, err error) bundle.Fault {
	f := bundle.Fault{File: file, Line: 1, Message: "syntax: " + err.Error()}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Message = "syntax: " + m[2]
	}
	return f
}

// newlineOffsets returns the offsets of the newlines in data.
func newlineOffsets(data []byte) []int {
	var offsets []int
	for i := 0; ; {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			return offsets
		}
		offsets = append(offsets, i+n)
		i += n + 1
	}
}
