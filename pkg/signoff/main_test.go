package signoff_test

import (
	"flag"

	"github.com/tarragondrum/tarragondrum/pkg/pack"
)

func init() {
	// The property tests draw the same cases in every run, unless -rapid.seed is given.
	_ = flag.Set("rapid.seed", "20261204")
	// The first use of pack creates channels that later calls share. They must not be
	// created in a synctest bubble, since other bubbles could not use them.
	pack.Compress(nil)
}
