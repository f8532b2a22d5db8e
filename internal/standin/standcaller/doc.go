// Package standcaller is a stand-in for the callers of one contract: it keeps flows open, sends requests at a fixed rate,
// checks every answer and sums up the outcomes.
package standcaller
