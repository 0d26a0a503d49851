package signoff_test

import (
	"flag"

	"github.com/tarragondrum/tarragondrum/pkg/pack"
)

func init() {
	// The same cases in every run, unless the command line gives another seed.
	_ = flag.Set("rapid.seed", "20261204")
	// The first use makes channels, which must not belong to a synctest bubble.
	pack.Pack(nil)
}
