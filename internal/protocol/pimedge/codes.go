package pimedge

import (
	"net/http"

	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// codeTokenNeeded is 4.01, which asks the caller to send its message again with the token of the reply.
const codeTokenNeeded = codes.Code(4<<5 | 1)

// codeOfStatus maps the HTTP status of a complete answer as RFC 8075 does. 401 becomes 4.03, because 4.01 asks
// the caller to send the request again with a token.
func codeOfStatus(status int) codes.Code {
	switch status {
	case 0, http.StatusOK:
		return codes.Content
	case http.StatusCreated:
		return codes.Created
	case http.StatusNoContent:
		return codes.Changed
	case http.StatusNotModified:
		return codes.Valid
	case http.StatusUnauthorized, http.StatusForbidden:
		return codes.Forbidden
	case http.StatusNotFound, http.StatusGone:
		return codes.NotFound
	case http.StatusMethodNotAllowed:
		return codes.MethodNotAllowed
	case http.StatusNotAcceptable:
		return codes.NotAcceptable
	case http.StatusPreconditionFailed:
		return codes.PreconditionFailed
	case http.StatusRequestEntityTooLarge:
		return codes.RequestEntityTooLarge
	case http.StatusUnsupportedMediaType:
		return codes.UnsupportedMediaType
	case http.StatusTooManyRequests:
		return codes.TooManyRequests
	}
	return codeOfClass(status)
}

func codeOfClass(status int) codes.Code {
	switch status / 100 {
	case 2:
		return codes.Content
	case 4:
		return codes.BadRequest
	default:
		return codes.BadGateway
	}
}

// codeOfFailure maps the HTTP status of a failed request. It never returns 5.03 or 5.04, which stand for refusals and
// unknown outcomes.
func codeOfFailure(status int) codes.Code {
	switch status {
	case http.StatusNotImplemented:
		return codes.NotImplemented
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return codes.BadGateway
	default:
		return codes.InternalServerError
	}
}

// codeOfRefusal returns 4.01 if the caller sent no token, or if its token was rejected and the reply carries a new one.
func codeOfRefusal(r Reply) codes.Code {
	switch r.Reason {
	case ReasonNoToken:
		return codeTokenNeeded
	case ReasonBadToken:
		if len(r.Token) > 0 {
			return codeTokenNeeded
		}
	case ReasonBadInput:
		return codes.BadRequest
	case ReasonRateLimit, ReasonFlowLimit:
		return codes.TooManyRequests
	}
	return codes.ServiceUnavailable
}
