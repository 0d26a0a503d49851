// Package docs_test checks that the documents agree with the code.
package docs_test

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/cli"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
)

const root = ".."

var (
	testName = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
	fileName = regexp.MustCompile("`((?:docs|pkg|platform|soak|deploy|spec|examples|\\.ci)/[A-Za-z0-9_./-]+)`")
)

// Every test that a document names exists.
func TestNamedTestsExist(t *testing.T) {
	exists := make(map[string]bool)
	for name, text := range readAll(t, ".go") {
		if !strings.HasSuffix(name, "_test.go") {
			continue
		}
		for _, m := range testFunc.FindAllStringSubmatch(text, -1) {
			exists[m[1]] = true
		}
	}
	for name, text := range readAll(t, ".md") {
		for _, m := range testName.FindAllStringSubmatch(text, -1) {
			if !exists[m[1]] {
				t.Errorf("%s names the test %s, which does not exist", name, m[1])
			}
		}
	}
}

// Every file or folder that a document names exists.
func TestNamedFilesExist(t *testing.T) {
	for name, text := range readAll(t, ".md") {
		for _, m := range fileName.FindAllStringSubmatch(text, -1) {
			path := filepath.Join(root, strings.TrimSuffix(m[1], "/"))
			if _, err := os.Stat(path); err != nil {
				t.Errorf("%s names %s, which does not exist", name, m[1])
			}
		}
	}
}

// commandLine matches a command in an indented block or in backquotes.
var commandLine = regexp.MustCompile("(?m)(?:^ {4}|`)(?:bin/)?tarragondrum ((?:[a-z-]+ ?)+)([^`\n]*)")

var flagName = regexp.MustCompile(`--[a-z-]+`)

// Every command that a document shows exists, with the flags that it shows.
func TestShownCommandsExist(t *testing.T) {
	for name, text := range readAll(t, ".md") {
		for _, m := range commandLine.FindAllStringSubmatch(text, -1) {
			help, ok := helpOf(strings.Fields(m[1]))
			if !ok {
				t.Errorf("%s shows the command %q, which does not exist", name, m[0])
				continue
			}
			for _, flag := range flagName.FindAllString(m[2], -1) {
				if !strings.Contains(help, flag) {
					t.Errorf("%s shows the flag %s in %q, which does not exist", name, flag, m[0])
				}
			}
		}
	}
}

// helpOf returns the help of the command that the words begin with. A group such
// as "bundle" is only a command if no further word follows.
func helpOf(words []string) (string, bool) {
	for n := 1; n <= min(len(words), 2); n++ {
		var out strings.Builder
		argv := append(slices.Clone(words[:n]), "--help")
		code := cli.Run(context.Background(), argv, cli.Env{Stdout: &out, Stderr: &out})
		usage := "Usage: tarragondrum " + strings.Join(words[:n], " ")
		if code != cli.ExitOK || !strings.Contains(out.String(), usage) {
			return "", false
		}
		if isLeaf := strings.Contains(out.String(), "\nExample:"); isLeaf || n == len(words) {
			return out.String(), true
		}
	}
	return "", false
}

// settingKeys returns the keys of the settings file, with "[]" after lists.
func settingKeys(parent string, t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		key, inner := parent+name, field.Type
		if inner.Kind() == reflect.Slice {
			key, inner = key+"[]", inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, settingKeys(key+".", inner)...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

var settingRow = regexp.MustCompile("(?m)^\\| `([A-Za-z.\\[\\]]+)` \\|")

// The page of the settings has a row for each key, and no others.
func TestSettingsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("SETTINGS.md")
	is.NoErr(err)
	var documented []string
	for _, m := range settingRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	keys := settingKeys("", reflect.TypeFor[hostconf.Settings]())
	slices.Sort(documented)
	slices.Sort(keys)
	is.Equal(documented, keys)
}

// readAll returns the text of every file of the tree with the given ending.
func readAll(t *testing.T, ending string) map[string]string {
	t.Helper()
	is := is.New(t)
	files := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() == ".git" {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ending {
			return nil
		}
		raw, err := os.ReadFile(path)
		files[path] = string(raw)
		return err
	})
	is.NoErr(err)
	is.True(len(files) > 0)
	return files
}
