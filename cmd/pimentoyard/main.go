// Command pimentoyard runs one VM of the load balancer and the operator's tools.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
