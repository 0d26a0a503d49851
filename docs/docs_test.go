// Package docs_test checks that the documents agree with the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = ".."

var (
	testName = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
	fileName = regexp.MustCompile("`((?:docs|pkg|spec|examples|\\.ci)/[A-Za-z0-9_./-]+)`")
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
