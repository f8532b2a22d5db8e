package pimid

// Rate is a number of events per second.
type Rate float64

// Slots is a number of requests that may run at once.
type Slots int

// Connections is a number of open flows.
type Connections int
