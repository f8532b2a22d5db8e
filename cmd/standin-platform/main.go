// Command standin-platform stands in for the platform's configuration service in tests and in the demo.
package main

import "github.com/pimentoyard/pimentoyard/internal/standin/standmain"

func main() { standmain.Main("standin-platform", run) }
