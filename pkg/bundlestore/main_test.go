package bundlestore_test

import "flag"

// The fixed seed makes every run of the property tests draw the same cases. The flag
// -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
