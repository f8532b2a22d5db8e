package pimonce

import "time"

// Config holds the memory limits of a home and the largest clock difference between homes.
type Config struct {
	// MaxRecords is the largest number of records of requests that run or may have run; one contract uses at most half
	// of it.
	MaxRecords int
	// MaxBytes is the largest total size of the records with their answers in bytes.
	MaxBytes int
	// AnswerReserve is the size in bytes that is reserved for the answer of a running request.
	AnswerReserve int
	// MaxRefusals is the largest number of recorded refusals of about 172 bytes; one contract uses at most half of it.
	MaxRefusals int
	// MaxSkew is the largest difference between the wall clocks of two VMs. A successor ends the permits of its
	// predecessor's tokens earlier by this much: if the clock of the successor is behind, the predecessor may have dropped
	// records of requests whose tokens still seem valid to the successor.
	MaxSkew time.Duration
}

// DefaultConfig returns the limits for a small VM.
func DefaultConfig() Config {
	return Config{
		MaxRecords:    100_000,
		MaxBytes:      64 << 20,
		AnswerReserve: 1 << 10,
		MaxRefusals:   200_000,
		MaxSkew:       30 * time.Second,
	}
}
