// Package resource defines the operator's configuration objects: their kinds and
// specs, the validation of specs, the change records of the log, the fold that
// applies changes, and the read-only view that the other packages use.
package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Type is the plural name of an object kind, as it appears in API paths.
type Type string

// The object kinds.
const (
	TypeWorkspace  Type = "workspaces"
	TypeDeployment Type = "deployments"
	TypeVersion    Type = "versions"
	TypeRule       Type = "rules"
	TypeService    Type = "services"
	TypeUpstream   Type = "upstreams"
)

// Types returns the kinds in dependency order: each kind follows those it refers to.
func Types() []Type {
	return []Type{TypeDeployment, TypeVersion, TypeService, TypeWorkspace, TypeRule, TypeUpstream}
}

// ParseType returns the kind with the given name, singular or plural, in any case.
// An unknown name is an error of KindInvalid.
func ParseType(name string) (Type, error) {
	plural := strings.TrimSuffix(strings.ToLower(name), "s") + "s"
	if t := Type(plural); slices.Contains(Types(), t) {
		return t, nil
	}
	names := make([]string, 0, len(Types()))
	for _, t := range Types() {
		names = append(names, string(t))
	}
	return "", fail("parse kind", KindInvalid, &Violation{
		Field: "kind", Value: fmt.Sprintf("%q", name), Allowed: strings.Join(names, ", "),
	})
}

// Metadata identifies an object and its version.
type Metadata struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version,omitempty"`  // log offset of the last change; 0 for a new object
	ChangeID string `json:"changeId,omitempty"` // id of that change
}

// Object is the API representation of an object.
type Object struct {
	Kind     Type            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// Status reports how many entries have applied an object.
type Status struct {
	Conditions []Condition `json:"conditions"`
	InForce    InForce     `json:"inForce"`
}

// Condition is one aspect of an object's status.
type Condition struct {
	Type    string `json:"type"`
	Status  string `json:"status"` // "true", "false" or "unknown"
	Message string `json:"message,omitempty"`
}

// InForce counts the live entries that have applied the object's version.
type InForce struct {
	Seen int `json:"seen"` // live entries that have applied it
	Of   int `json:"of"`   // live entries
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 of a-z, 0-9, '-' and '.', first and last a letter or digit"

// Check validates the object's name and spec. For the first invalid field it
// returns an error of KindInvalid whose cause is a Violation.
func (o *Object) Check() error {
	if !namePattern.MatchString(o.Metadata.Name) {
		return Invalid("metadata.name", o.Metadata.Name, nameAllowed)
	}
	_, err := DecodeSpec(o.Kind, o.Spec)
	return err
}

// Spec is the decoded spec of an object.
type Spec interface {
	check() error
}

// DecodeSpec decodes and validates the spec of an object of kind t.
func DecodeSpec(t Type, raw json.RawMessage) (Spec, error) {
	switch t {
	case TypeWorkspace:
		return decodeSpec[WorkspaceSpec](raw)
	case TypeDeployment:
		return decodeSpec[DeploymentSpec](raw)
	case TypeVersion:
		return decodeSpec[VersionSpec](raw)
	case TypeRule:
		return decodeSpec[RuleSpec](raw)
	case TypeService:
		return decodeSpec[ServiceSpec](raw)
	case TypeUpstream:
		return decodeSpec[UpstreamSpec](raw)
	default:
		_, err := ParseType(string(t))
		return nil, err
	}
}

func decodeSpec[T any, P interface {
	*T
	Spec
}](raw json.RawMessage) (Spec, error) {
	var spec T
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, Invalid("spec", "(nothing)", "an object")
	}
	if err := DecodeStrict(raw, &spec, "spec"); err != nil {
		return nil, err
	}
	if err := P(&spec).check(); err != nil {
		return nil, err
	}
	return P(&spec), nil
}

// DecodeStrict decodes a single JSON value into v and rejects unknown fields.
// Errors name the offending field, prefixed with path.
func DecodeStrict(raw []byte, v any, path string) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, end := d.Token(); !errors.Is(end, io.EOF) {
			return Invalid(path, "more than one value", "one JSON object")
		}
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	switch {
	case asError(err, &typeErr):
		return Invalid(joinPath(path, typeErr.Field), typeErr.Value, "a "+typeErr.Type.String())
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		field := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return Invalid(joinPath(path, field), "an unknown field", "the fields of this kind")
	default:
		return Invalid(path, err.Error(), "JSON of this kind")
	}
}

func joinPath(path, field string) string {
	switch {
	case field == "":
		return path
	case path == "":
		return field
	default:
		return path + "." + field
	}
}

// Invalid returns an error of KindInvalid for a field, with a Violation as its cause.
func Invalid(field string, value any, allowed string) error {
	return fail("check", KindInvalid, &Violation{Field: field, Value: fmt.Sprintf("%v", value), Allowed: allowed})
}

// Seconds is a duration that is encoded in JSON as a number of seconds. Decoding
// also accepts Go duration strings such as "1m30s".
type Seconds time.Duration

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(s) }

// MarshalJSON encodes s as a number of seconds.
func (s Seconds) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).Seconds()) }

// UnmarshalJSON decodes a number of seconds or a Go duration string.
func (s *Seconds) UnmarshalJSON(b []byte) error {
	var n float64
	if err := json.Unmarshal(b, &n); err == nil {
		*s = Seconds(n * float64(time.Second))
		return nil
	}
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*s = Seconds(d)
	return nil
}
