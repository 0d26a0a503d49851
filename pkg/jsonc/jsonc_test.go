package jsonc_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/jsonc"
)

type inner struct {
	Size  int             `json:"size" default:"7" help:"how large"`
	Wait  bundle.Duration `json:"wait" default:"2s"`
	Quick bool            `json:"quick" default:"true"`
}

type document struct {
	Name  string   `json:"name" default:"unnamed"`
	Inner inner    `json:"inner"`
	List  []inner  `json:"list"`
	Words []string `json:"words,omitempty"`
}

func TestDecodeWithCommentsAndDefaults(t *testing.T) {
	is := is.New(t)
	var d document
	_, faults := jsonc.Decode("f", []byte(`// comment
{
  "list": [{ "size": 0, "quick": false, }, {}], /* trailing commas are fine */
  "words": ["a", "b"],
}`), &d)
	is.Equal(len(faults), 0)
	defaults := inner{Size: 7, Wait: bundle.Duration(2 * time.Second), Quick: true}
	is.Equal(d, document{
		Name:  "unnamed",
		Inner: defaults,
		List:  []inner{{Size: 0, Wait: defaults.Wait}, defaults},
		Words: []string{"a", "b"},
	})
}

// Each fault has the line and the key that it concerns.
func TestFaultsHaveLineAndKey(t *testing.T) {
	cases := map[string]struct {
		text string
		want []bundle.Fault
	}{
		"unknown key":      {"{\n\"title\": \"x\"}", []bundle.Fault{{Line: 2, Key: "title", Message: "unknown key; known are name, inner, list, words"}}},
		"duplicate key":    {"{\"name\": \"x\",\n\n\"name\": \"y\"}", []bundle.Fault{{Line: 3, Key: "name", Message: "key is given twice, first on line 1"}}},
		"string for int":   {"{\"inner\": {\n\"size\": \"7\"}}", []bundle.Fault{{Line: 2, Key: "inner.size", Message: "expected a whole number, found a string"}}},
		"fraction for int": {"{\"inner\": {\"size\": 1.5}}", []bundle.Fault{{Line: 1, Key: "inner.size", Message: "expected a whole number, found 1.5"}}},
		"int overflow":     {"{\"inner\": {\"size\": 99999999999999999999}}", []bundle.Fault{{Line: 1, Key: "inner.size", Message: "expected a whole number, found 99999999999999999999"}}},
		"bad duration":     {"{\"inner\": {\"wait\": \"2 s\"}}", []bundle.Fault{{Line: 1, Key: "inner.wait", Message: `expected a duration such as "250ms", found "2 s"`}}},
		"number duration":  {"{\"inner\": {\"wait\": 2}}", []bundle.Fault{{Line: 1, Key: "inner.wait", Message: `expected a duration such as "250ms", found a number`}}},
		"null":             {"{\"name\": null}", []bundle.Fault{{Line: 1, Key: "name", Message: "expected a string, found null"}}},
		"bool":             {"{\"inner\": {\"quick\": 1}}", []bundle.Fault{{Line: 1, Key: "inner.quick", Message: "expected true or false, found a number"}}},
		"object for list":  {"{\"list\": {}}", []bundle.Fault{{Line: 1, Key: "list", Message: "expected a list, found an object"}}},
		"list for object":  {"{\"inner\": []}", []bundle.Fault{{Line: 1, Key: "inner", Message: "expected an object, found a list"}}},
		"in a list":        {"{\"list\": [{},\n{\"size\": true}]}", []bundle.Fault{{Line: 2, Key: "list[1].size", Message: "expected a whole number, found true or false"}}},
		"not an object":    {"[]", []bundle.Fault{{Line: 1, Message: "expected an object, found a list"}}},
		"syntax":           {"{\n\"name\" \"x\"}", []bundle.Fault{{Line: 2, Message: `syntax: invalid character '"' after object name`}}},
		"empty":            {"", []bundle.Fault{{Line: 1, Message: "syntax: parsing value: unexpected EOF"}}},
		"several": {"{\"title\": 1,\n\"inner\": {\"size\": \"x\",\n\"wait\": 1}}", []bundle.Fault{
			{Line: 1, Key: "title", Message: "unknown key; known are name, inner, list, words"},
			{Line: 2, Key: "inner.size", Message: "expected a whole number, found a string"},
			{Line: 3, Key: "inner.wait", Message: `expected a duration such as "250ms", found a number`},
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d document
			_, faults := jsonc.Decode("f", []byte(c.text), &d)
			for i := range c.want {
				c.want[i].File = "f"
			}
			is.Equal(faults, c.want)
		})
	}
}

// Guards against a stack overflow that would end the process: the hujson parser recurses
// once per nesting level without a limit.
func TestDeepNestingIsRejected(t *testing.T) {
	is := is.New(t)
	var d document
	text := append([]byte("{\n\"words\": "), bytes.Repeat([]byte("["), 1<<20)...)
	_, faults := jsonc.Decode("f", text, &d)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Line, 2)
	is.True(strings.Contains(faults[0].Message, "nested"))
	brackets := strings.Repeat("[", 1000)
	_, faults = jsonc.Decode("f", []byte("{ // "+brackets+"\n/* "+brackets+" */ \"name\": \"\\\""+brackets+"\" }"), &d)
	is.Equal(len(faults), 0) // brackets in comments and strings do not count
}

func TestUnreadableFilesAreReported(t *testing.T) {
	is := is.New(t)
	var d document
	_, faults := jsonc.DecodeFile("absent.jsonc", &d)
	is.Equal(faults, []bundle.Fault{{File: "absent.jsonc", Line: 1, Message: "read file: no such file or directory"}})
	large := filepath.Join(t.TempDir(), "large")
	is.NoErr(os.WriteFile(large, nil, 0o600))
	is.NoErr(os.Truncate(large, jsonc.MaxFileBytes+1))
	_, faults = jsonc.DecodeFile(large, &d)
	is.Equal(len(faults), 1)
}

func TestEntriesDescribeEveryKey(t *testing.T) {
	is := is.New(t)
	table := jsonc.Table(jsonc.Entries(document{}))
	is.True(strings.Contains(table, "| `inner.size` | number | `7` | how large |"))
	is.True(strings.Contains(table, "| `list[].wait` | duration | `2s` |"))
	is.True(strings.Contains(table, "| `words[]` | string |"))
}

// Decoding any input ends without a panic, and each fault has a message and a line
// inside the file.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{}`, `{"list":[{"size":1}]}`, "{//\n\"a\":/**/\"\\u0000\"}", `{"inner":{"wait":"1s"},}`, "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d document
		_, faults := jsonc.Decode("f", data, &d)
		lines := bytes.Count(data, []byte("\n")) + 1
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Message == "" {
				t.Fatalf("fault %+v has no message or a line outside 1 to %d", fault, lines)
			}
		}
	})
}
