package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns what was broken, empty if the rule held.
var cases = map[string]func(trouble bool) string{}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: kit2 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if recordTo, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if dir, err = os.MkdirTemp("", "review2-"); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { cannotRun("not finished in time") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	run := cases[os.Args[1]]
	if run == nil {
		cannotRun("no such case")
	}
	broken := run(os.Getenv("TROUBLE") != "0")
	cleanUp()
	if broken != "" {
		say("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	say("the rule held")
	fmt.Println("the rule held")
}

// load sends requests at each machine until stop is closed.
func load(m *mesh, every time.Duration, stop chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	for k, h := range m.machines {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				id := fmt.Sprintf("c%d-%d", k+1, n)
				sent := time.Now()
				sentAt.Store(id, sent)
				calm := h.calmAt(sent)
				calmThen.Store(id, calm)
				a := h.send("GET", "/browse/"+fmt.Sprint(n), id, 1200, "")
				answers.Store(id, a)
			}
		})
	}
	return &all
}

var sentAt, calmThen, answers sync.Map

// servedLess reports whether a route that was added later is served less than a quarter as often as
// the first ones. It ends the case if there were too few requests, or the first ones were not served.
func servedLess(sentAdded, servedAdded, sentFirst, servedFirst int64) bool {
	if sentAdded < 20 || sentFirst < 20 || servedFirst == 0 {
		cannotRun("%d and %d requests on the two kinds of routes, %d served on the first", sentAdded, sentFirst, servedFirst)
	}
	return float64(servedAdded)/float64(sentAdded) < float64(servedFirst)/float64(sentFirst)/4
}
