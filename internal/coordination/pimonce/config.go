package pimonce

import "time"

// Config holds the limits of a home.
type Config struct {
	// MaxRecords is the largest number of requests that run or may have run; one contract uses at most half of it.
	MaxRecords int
	// MaxBytes is the largest total size of recorded answers in bytes.
	MaxBytes int
	// AnswerReserve is the size in bytes that is set aside for the answer of a running request.
	AnswerReserve int
	// MaxRefusals is the largest number of recorded refusals of about 172 bytes; one contract uses at most half of it.
	MaxRefusals int
	// MaxSkew is the largest difference between the wall clocks of two VMs; a successor ends the permits of its
	// predecessor earlier by this much, since the predecessor may have dropped records that this VM would still need.
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
