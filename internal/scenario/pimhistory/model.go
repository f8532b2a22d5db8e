package pimhistory

import (
	"github.com/anishathalye/porcupine"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// ranEvent is the output of an execution by a backend server in the history.
const ranEvent pimedge.Outcome = "ran"

// The states of one request in the model.
const (
	stateOpen = iota
	stateRan
	stateRefused
)

// model is the sequential specification of one request: it runs at most once, it is answered only after it ran, and
// once it was reported as not run it never runs.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		index := map[pimonce.Key]int{}
		for _, op := range history {
			k := op.Input.(pimonce.Key)
			i, ok := index[k]
			if !ok {
				i = len(parts)
				index[k] = i
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], op)
		}
		return parts
	},
	Init: func() any { return stateOpen },
	Step: func(state, _, output any) (bool, any) {
		switch output.(pimedge.Outcome) {
		case ranEvent:
			return state == stateOpen, stateRan
		case pimedge.OutcomeAnswered:
			return state == stateRan, state
		case pimedge.OutcomeNotRun:
			return state != stateRan, stateRefused
		default:
			return true, state
		}
	},
}

// Linearizable reports whether the history of every request is linearizable with respect to the model.
func (h *History) Linearizable() bool { return porcupine.CheckOperations(model, h.events) }
