package rest

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// maxStatusBytes bounds the answer to a failed call.
const maxStatusBytes = 64 << 10

// readFailure turns the answer to a read into an error of the platform layer.
func readFailure(resp *http.Response) error {
	return failure(resp, platform.ErrUnavailable)
}

// writeFailure does the same for a write, whose effect a 5xx leaves open.
func writeFailure(resp *http.Response) error {
	return failure(resp, platform.ErrUnknownOutcome)
}

func failure(resp *http.Response, unclear error) error {
	var s Status
	if err := decode(resp.Body, maxStatusBytes, &s); err != nil {
		s.Message = "no readable status"
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return fmt.Errorf("HTTP 429: %s: %w", s.Message, &platform.RateLimitError{RetryAfter: retryAfter(resp)})
	}
	return fmt.Errorf("HTTP %d: %s: %w", resp.StatusCode, s.Message, errorOf(resp.StatusCode, unclear))
}

// errorOf returns the error for an HTTP status; unclear is for those that do
// not tell whether the call took effect.
func errorOf(code int, unclear error) error {
	switch code {
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusConflict:
		return platform.ErrConflict
	case http.StatusGone:
		return platform.ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return platform.ErrTooLarge
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusMethodNotAllowed, http.StatusUnprocessableEntity:
		return platform.ErrRefused
	}
	return unclear
}

// retryAfter reads the header in its form of whole seconds.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// closeBody reads the little that may be left, so that the connection is used again.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxStatusBytes)
	_ = resp.Body.Close()
}
