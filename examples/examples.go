// Package examples embeds the example deployments, so that the demo runs from
// the binary alone.
package examples

import "embed"

// Files holds one folder for each example deployment.
//
//go:embed cluj casablanca
var Files embed.FS
