// Package standcaller is a stand-in for the callers of one contract: it keeps flows open, sends requests at a fixed
// rate, checks every answer and summarises the outcomes.
package standcaller
