// Command reviewkit holds the stand-ins and the drivers of the review's scripts. It uses the
// standard library only.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(m *caseRun) (bool, error){}

// caseRun is what a case gets.
type caseRun struct {
	repo, dir string
	// trouble is false with TROUBLE=0: the same without the disruption.
	trouble bool
	mesh    *mesh
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "instance" {
		os.Exit(instanceMain(os.Args[2:]))
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit case NAME DIR")
		os.Exit(2)
	}
	dir, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &caseRun{repo: filepath.Dir(filepath.Dir(dir)), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[2]](r)
		done <- result{broken, err}
	}()
	var end result
	select {
	case end = <-done:
	case <-signals:
		end.err = errors.New("interrupted")
	}
	if r.mesh != nil {
		r.mesh.close()
	}
	switch {
	case end.err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", end.err)
		os.Exit(2)
	case end.broken:
		fmt.Println("BROKEN")
		os.Exit(1)
	}
	fmt.Println("held")
}
