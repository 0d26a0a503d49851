// Command tarragondrum runs and operates a tarragondrum mesh.
package main

import (
	"os"

	"github.com/tarragondrum/tarragondrum/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
