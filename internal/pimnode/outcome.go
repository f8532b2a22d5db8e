package pimnode

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
)

func outcomeToProto(o pimedge.Outcome) pimpb.Outcome {
	switch o {
	case pimedge.OutcomeAnswered:
		return pimpb.Outcome_OUTCOME_ANSWERED
	case pimedge.OutcomeNotRun:
		return pimpb.Outcome_OUTCOME_NOT_RUN
	case pimedge.OutcomeFailed:
		return pimpb.Outcome_OUTCOME_FAILED
	case "":
		return pimpb.Outcome_OUTCOME_UNSPECIFIED
	default:
		return pimpb.Outcome_OUTCOME_UNKNOWN
	}
}

// outcomeFromProto converts any unexpected value to unknown, which asserts nothing about whether the request ran.
func outcomeFromProto(o pimpb.Outcome) pimedge.Outcome {
	switch o {
	case pimpb.Outcome_OUTCOME_ANSWERED:
		return pimedge.OutcomeAnswered
	case pimpb.Outcome_OUTCOME_NOT_RUN:
		return pimedge.OutcomeNotRun
	case pimpb.Outcome_OUTCOME_FAILED:
		return pimedge.OutcomeFailed
	case pimpb.Outcome_OUTCOME_UNSPECIFIED:
		return ""
	default:
		return pimedge.OutcomeUnknown
	}
}
