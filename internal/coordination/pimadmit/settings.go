package pimadmit

// Settings describe the queues of backend servers and how much of them is kept for urgent routes.
type Settings struct {
	// QueuePerSlot is the number of requests that a backend server queues for each of its slots before it refuses further ones.
	// Backend servers do not publish it.
	QueuePerSlot float64
	// Reserve is the part of the places that only the most urgent routes of a service may fill. The rest exceeds the slots, so that
	// less urgent routes alone keep all slots busy.
	Reserve float64
}

// DefaultSettings returns the settings for backend servers that queue four requests per slot.
func DefaultSettings() Settings { return Settings{QueuePerSlot: 4, Reserve: 0.4} }

// idleFill is the part of the places up to which a request finds a free slot.
func (s Settings) idleFill() float64 { return 1 / (1 + s.QueuePerSlot) }
