// Command pimentoyard runs one VM of the load balancer and the operator's tools.
package main

func main() {}
