package rest

import "encoding/json"

// The group and version of the objects, and the path below the base URL.
const (
	APIVersion = "tarragondrum.io/v1"
	basePath   = "/apis/" + APIVersion + "/namespaces/"
)

// Metadata is the part of an object that the platform manages.
type Metadata struct {
	Name            string `json:"name,omitempty"`
	Namespace       string `json:"namespace,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Object is a stored object.
type Object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// List is the answer to a list call.
type List struct {
	APIVersion string   `json:"apiVersion"`
	Kind       string   `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Items      []Object `json:"items"`
}

// The types of a watch event.
const (
	EventAdded    = "ADDED"
	EventModified = "MODIFIED"
	EventDeleted  = "DELETED"
	EventBookmark = "BOOKMARK"
	EventError    = "ERROR"
)

// Event is one line of a watch: an object, or a Status if Type is EventError.
type Event struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// The reasons of a Status.
const (
	ReasonAlreadyExists   = "AlreadyExists"
	ReasonBadRequest      = "BadRequest"
	ReasonConflict        = "Conflict"
	ReasonExpired         = "Expired"
	ReasonNotFound        = "NotFound"
	ReasonTooLarge        = "RequestEntityTooLarge"
	ReasonTooManyRequests = "TooManyRequests"
	ReasonUnauthorized    = "Unauthorized"
	ReasonUnavailable     = "ServiceUnavailable"
)

// Status is the answer to a call that failed.
type Status struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Status     string `json:"status"`
	Code       int    `json:"code"`
	Reason     string `json:"reason"`
	Message    string `json:"message"`
}

// NewStatus returns the answer to a failed call.
func NewStatus(code int, reason, message string) Status {
	return Status{APIVersion: "v1", Kind: "Status", Status: "Failure", Code: code, Reason: reason, Message: message}
}

// DeleteOptions is the body of a delete call.
type DeleteOptions struct {
	APIVersion    string        `json:"apiVersion"`
	Kind          string        `json:"kind"`
	Preconditions Preconditions `json:"preconditions"`
}

// Preconditions must hold for a delete call to take effect.
type Preconditions struct {
	ResourceVersion string `json:"resourceVersion"`
}
