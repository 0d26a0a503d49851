package h1

import "net/http"

// IsFinalStatus reports whether a status is that of a final response, 200 to 599. Responses of
// upstreams and answers of other nodes with any other status are malformed, and none is
// written to a caller.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// isInterimStatus reports whether a status is that of an interim response, 100 to 199. A
// status that is neither interim nor final makes a status line malformed. The parser of the
// standard library accepts any three characters that are a number of 0 or more. Those with a
// sign are numbers below 100.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}
