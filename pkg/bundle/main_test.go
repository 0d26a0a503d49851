package bundle_test

import "flag"

// The property tests draw the same cases in every run, unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "20261204") }
