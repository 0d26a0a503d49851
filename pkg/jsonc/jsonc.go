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

// MaxFileBytes bounds the size of one file.
const MaxFileBytes = 16 << 20

// Positions knows on which line of a file each key stands. Keys are written
// like "mesh.contacts[1]".
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

// Line returns the line of the key or of its nearest parent.
func (p *Positions) Line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

// DecodeFile reads the named file into v, which must be a pointer to a struct.
func DecodeFile(name string, v any) (*Positions, []bundle.Fault) {
	info, err := os.Stat(name)
	if err == nil && info.Size() > MaxFileBytes {
		err = fmt.Errorf("file has %d bytes, more than %d", info.Size(), MaxFileBytes)
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

// Decode reads data into v, which must be a pointer to a struct. Keys without a
// fault are set even if others have one.
func Decode(file string, data []byte, v any) (*Positions, []bundle.Fault) {
	p := &Positions{file: file, lines: make(map[string]int)}
	d := &decoder{positions: p, newlines: lineStarts(data)}
	if offset := tooDeep(data); offset >= 0 {
		d.faultAt(d.line(offset), "", "syntax: objects and lists are nested more than %d deep", maxDepth)
		return p, d.faults
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return p, []bundle.Fault{syntaxFault(file, err)}
	}
	d.decodeRoot(root, v)
	return p, d.faults
}

var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column \d+: (.*)$`)

func syntaxFault(file string, err error) bundle.Fault {
	f := bundle.Fault{File: file, Line: 1, Message: "syntax: " + err.Error()}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Message = "syntax: " + m[2]
	}
	return f
}

// lineStarts returns the offsets of the newlines in data.
func lineStarts(data []byte) []int {
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
