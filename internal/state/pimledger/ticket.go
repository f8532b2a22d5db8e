package pimledger

// Ticket is one admitted piece of work. The first method called ends it; further calls have no effect.
type Ticket struct {
	account *Account
	ended   bool
}

// Answered counts the work as answered by a backend server. An opened flow counts as answered at its admission.
func (t *Ticket) Answered() { t.end(func(a *Account) { a.answered++ }) }

// Failed counts the work as answered with an error.
func (t *Ticket) Failed() { t.end(func(a *Account) { a.failed++ }) }

// Unknown counts the work as ended with an unknown outcome: it may have run, but there is no answer.
func (t *Ticket) Unknown() { t.end(func(a *Account) { a.unknown++ }) }

// NotRun takes back the admission and counts the work as refused, since no backend server ran it.
func (t *Ticket) NotRun(reason Reason) {
	t.end(func(a *Account) {
		a.admitted--
		a.refuse(reason)
	})
}

func (t *Ticket) end(count func(a *Account)) {
	t.account.mu.Lock()
	defer t.account.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.account.inFlight--
	count(t.account)
}
