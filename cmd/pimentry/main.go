// Command pimentry runs one VM that steers opaque flows, whose content it cannot read, on the users' platform. It is
// separate from pimentoyard so that it links only the packages that it uses: on a VM with a tenth of a core, it starts
// several times faster than pimentoyard.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
