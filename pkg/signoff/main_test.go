package signoff_test

import "flag"

// The same cases in every run, unless the command line gives another seed.
func init() { _ = flag.Set("rapid.seed", "20261204") }
