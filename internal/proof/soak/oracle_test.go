package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

const (
	plainResponse = "plain answer"
	maxAttempts   = 2 // max_attempts of every route
	maxReported   = 8 // violations that are printed in full
)

// violations compares what callers received with what servers executed, and describes each
// broken guarantee.
func violations(attempts []*attempt, executions map[string][]execution) []string {
	var out []string
	known := map[string]bool{}
	for _, a := range attempts {
		known[a.id] = true
		for _, why := range append(a.checkResponse(executions[a.id]), a.checkForwarded(executions[a.id])...) {
			out = append(out, fmt.Sprintf("%s %s at entry %d, sent %s, status %d: %s", a.method, a.path, a.entry, a.sentAt.Format("15:04:05.000"), a.status, why))
		}
	}
	for id, list := range executions {
		if !known[id] {
			out = append(out, fmt.Sprintf("%s ran %s %s with id %q, which nobody sent", list[0].Instance, list[0].Method, list[0].URI, id))
		}
	}
	return out
}

// checkResponse describes how the response contradicts the executions of the request.
func (a *attempt) checkResponse(list []execution) []string {
	var out []string
	if a.atMostOnce && len(list) > 1 {
		out = append(out, fmt.Sprintf("it ran %d times, and may run once", len(list)))
	}
	if len(list) > maxAttempts {
		out = append(out, fmt.Sprintf("it ran %d times, its route allows %d", len(list), maxAttempts))
	}
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if a.atMostOnce && len(list) > 0 {
			out = append(out, fmt.Sprintf("it ran at %s, though it is promised that it did not", list[0].Instance))
		}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		out = append(out, "it is proper, and allowed by each configuration")
	case http.StatusOK:
		if why := checkSuccess(a, len(list)); a.err == nil && why != "" {
			out = append(out, why)
		}
	}
	return out
}

// checkForwarded describes differences between the request as sent and as the servers received it.
func (a *attempt) checkForwarded(list []execution) []string {
	var out []string
	for _, r := range list {
		if r.Method != a.method || r.URI != a.path || r.Body != a.body {
			out = append(out, fmt.Sprintf("%s ran %s %s with %q", r.Instance, r.Method, r.URI, r.Body))
		}
		if r.Tenant != "guild" || r.Key != "" {
			out = append(out, fmt.Sprintf("%s was told workspace %q and the key %q", r.Instance, r.Tenant, r.Key))
		}
	}
	return out
}

// checkSuccess describes what is wrong with a complete 200 response, or returns "".
func checkSuccess(a *attempt, executions int) string {
	want := plainResponse
	if a.stream {
		want = server.Events(eventCount)
	}
	switch {
	case executions == 0:
		return "no server ran it"
	case a.header.Get("X-Attempt-Id") != a.id:
		return "the answer is of " + a.header.Get("X-Attempt-Id")
	case !strings.HasPrefix(a.header.Get("X-Response-Seal"), "seal-"):
		return "the answer has no seal"
	case a.header.Get("Content-Encoding") != "":
		return "the answer is encoded"
	case a.responseBody != want:
		return fmt.Sprintf("the answer is %q", a.responseBody)
	}
	return ""
}
